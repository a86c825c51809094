"""Load reports of an engine."""

from baobabhinge_standins.engine.batch import Batch
from baobabhinge_standins.engine.faults import FaultDesk
from baobabhinge_standins.engine.models import ModelShelf
from baobabhinge_standins.load import Load


class EngineMeter:
    """Measure the load of an engine, or lie about it.

    Parameters
    ----------
    batch : Batch
        Requests of the engine.
    shelf : ModelShelf
        Knows whether the engine was ordered to drain.
    faults : FaultDesk
        Present faults.
    """

    __slots__ = ('_batch', '_faults', '_shelf')

    def __init__(
        self,
        batch: Batch,
        shelf: ModelShelf,
        faults: FaultDesk,
    ) -> None:
        """Keep the parts."""
        self._batch = batch
        self._shelf = shelf
        self._faults = faults

    def measure(self) -> Load:
        """Return what the load report is to say."""
        faults = self._faults.present
        return Load(
            _choose(faults.reported_running, self._batch.running),
            _choose(faults.reported_waiting, self._batch.waiting),
            self._batch.slots,
            faults.draining or self._shelf.is_draining,
            models=self._shelf.list_names(),
        )


def _choose(reported: int | None, measured: int) -> int:
    return measured if reported is None else reported
