"""Reading of what another gateway has to tell."""

import structlog

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.fetching import StateAnswer, StateTransfer
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.snapshot import (
    SNAPSHOT_PATH,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.state_lag import MILLISECOND, PartLag
from baobabhinge_gateway.forwarding.state_metrics import StateMetrics

log = structlog.get_logger(__name__)


class SnapshotReader:
    """Read snapshots of other gateways.

    Parameters
    ----------
    transfer : callable
        Sends the requests.
    metrics : StateMetrics
        Counts the requests.
    """

    __slots__ = ('_metrics', '_transfer')

    def __init__(self, transfer: StateTransfer, metrics: StateMetrics) -> None:
        """Store the collaborators."""
        self._transfer = transfer
        self._metrics = metrics

    async def read(
        self, address: str, wanted: StoreRevisions, lag: PartLag
    ) -> StateAnswer | None:
        """Return the answer of another gateway to a request for state.

        A failure is logged.

        Parameters
        ----------
        address : str
            ``host:port`` of the gateway.
        wanted : StoreRevisions
            Revisions that this gateway has of the wanted part.
        lag : PartLag
            Lag of that part.

        Returns
        -------
        StateAnswer or None
            ``None`` if it was not answered in time.
        """
        target = f'{SNAPSHOT_PATH}?{wanted.format_query()}'
        try:
            with self._metrics.track_fetch(lag):
                answer = await self._transfer(address, target)
        except (NotReachedError, ForwardingError) as lost:
            log.info(
                'snapshot-not-fetched',
                source=address,
                part=lag.part,
                reason=repr(lost),
            )
            return None
        log.info(
            'snapshot-fetched',
            source=address,
            part=lag.part,
            bytes=len(answer.body),
            behind_ms=lag.compute() // MILLISECOND,
            failed_fetches=lag.failed_fetches,
        )
        return answer
