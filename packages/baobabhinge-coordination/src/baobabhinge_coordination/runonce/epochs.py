"""Epochs that a witness holds, and their rows."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.answer_budget import AnswerBudget
from baobabhinge_coordination.runonce.errors import WitnessFullError
from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.outcomes import RunOnceOutcome
from baobabhinge_coordination.runonce.retention import Retention


class WitnessEntry(msgspec.Struct, frozen=True):
    """What a witness knows about one key.

    Parameters
    ----------
    digest : str
        Digest of the request; empty for a sealed key.
    outcome : RunOnceOutcome or None
        How the call ended, once known.
    """

    digest: str
    outcome: RunOnceOutcome | None = None


class Epoch:
    """Rows of the keys that one owner minted in one window."""

    __slots__ = ('opened', 'owner', 'rows')

    def __init__(self, owner: Party, opened: timedelta) -> None:
        """Start without rows."""
        self.owner = owner
        self.opened = opened
        self.rows: dict[RunOnceKey, WitnessEntry] = {}


class EpochTable:
    """Epochs by number; they are dropped whole.

    Parameters
    ----------
    clock : Clock
        Clock of the ages.
    retention : Retention
        Bounds.
    """

    __slots__ = ('_clock', '_kept', '_last', '_open', '_retention')

    def __init__(self, clock: Clock, retention: Retention) -> None:
        """Start without epochs."""
        self._clock = clock
        self._retention = retention
        self._kept = AnswerBudget(retention)
        self._last = 0
        self._open: dict[int, Epoch] = {}

    def open(self, owner: Party) -> int:
        """Open an epoch under a number that was never given before.

        Raises
        ------
        WitnessFullError
            If too many epochs are open.
        """
        self.drop_expired()
        if len(self._open) >= self._retention.max_epochs:
            raise WitnessFullError('this witness holds too many epochs')
        self._last += 1
        self._open[self._last] = Epoch(owner, self._clock.read_monotonic())
        return self._last

    def is_open(self, key: RunOnceKey) -> bool:
        """Tell whether the epoch of ``key`` is held, by the key's owner."""
        epoch = self._open.get(key.epoch)
        return epoch is not None and epoch.owner == key.owner

    def is_full(self, key: RunOnceKey) -> bool:
        """Tell whether the epoch of ``key`` takes no more rows."""
        rows = self._open[key.epoch].rows
        return len(rows) >= self._retention.keys_per_epoch

    def find(self, key: RunOnceKey) -> WitnessEntry | None:
        """Return the row of ``key``, if there is one."""
        return self._open[key.epoch].rows.get(key)

    def put(self, key: RunOnceKey, row: WitnessEntry) -> None:
        """Set the row of ``key``; a body over the bounds is not kept."""
        kept = self._kept.admit(row.outcome)
        self._open[key.epoch].rows[key] = WitnessEntry(row.digest, kept)

    def drop_expired(self) -> None:
        """Forget the epochs past their age, with all their rows."""
        now = self._clock.read_monotonic()
        expired = [
            number
            for number, epoch in self._open.items()
            if now - epoch.opened > self._retention.epoch_age
        ]
        for number in expired:
            for row in self._open.pop(number).rows.values():
                self._kept.release(row.outcome)
