"""Epochs that a witness holds, with their entries."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.answer_budget import AnswerBudget
from baobabhinge_coordination.runonce.errors import WitnessFullError
from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.outcomes import RunOnceOutcome
from baobabhinge_coordination.runonce.retention import Retention


class WitnessEntry(msgspec.Struct, frozen=True):
    """State of one key at its witness.

    Parameters
    ----------
    digest : str
        Digest of the request; empty for a sealed key.
    outcome : RunOnceOutcome or None
        How the call ended, or that the key is sealed; ``None`` while only the
        intent is known.
    """

    digest: str
    outcome: RunOnceOutcome | None = None


class Epoch:
    """Entries of the keys that one owner minted in one window."""

    __slots__ = ('entries', 'opened', 'owner')

    def __init__(self, owner: Party, opened: timedelta) -> None:
        """Start without entries."""
        self.owner = owner
        self.opened = opened
        self.entries: dict[RunOnceKey, WitnessEntry] = {}


class EpochTable:
    """Epochs by number; an epoch is removed with all its entries.

    Parameters
    ----------
    clock : Clock
        Clock by which the age of epochs is measured.
    retention : Retention
        Bounds on epochs, entries and the bytes of kept answers.
    """

    __slots__ = (
        '_answer_budget',
        '_clock',
        '_last_number',
        '_open_epochs',
        '_retention',
    )

    def __init__(self, clock: Clock, retention: Retention) -> None:
        """Start without epochs."""
        self._clock = clock
        self._retention = retention
        self._answer_budget = AnswerBudget(retention)
        self._last_number = 0
        self._open_epochs: dict[int, Epoch] = {}

    def open(self, owner: Party) -> int:
        """Open an epoch and return its number, which is never used again.

        Raises
        ------
        WitnessFullError
            If the witness holds its maximum of epochs.
        """
        self.drop_expired()
        if len(self._open_epochs) >= self._retention.max_epochs:
            raise WitnessFullError(
                'the witness can open no epoch: it holds its maximum of epochs',
            )
        self._last_number += 1
        self._open_epochs[self._last_number] = Epoch(
            owner, self._clock.read_monotonic()
        )
        return self._last_number

    def is_open(self, key: RunOnceKey) -> bool:
        """Return whether the epoch of ``key`` is open for the key's owner."""
        epoch = self._open_epochs.get(key.epoch)
        return epoch is not None and epoch.owner == key.owner

    def is_full(self, key: RunOnceKey) -> bool:
        """Return whether the epoch of ``key`` has no room for entries."""
        entries = self._open_epochs[key.epoch].entries
        return len(entries) >= self._retention.keys_per_epoch

    def find(self, key: RunOnceKey) -> WitnessEntry | None:
        """Return the entry of ``key``; ``None`` if there is none."""
        return self._open_epochs[key.epoch].entries.get(key)

    def put(self, key: RunOnceKey, entry: WitnessEntry) -> None:
        """Set the entry of ``key``; a body beyond the bounds is not kept."""
        kept = self._answer_budget.admit(entry.outcome)
        self._open_epochs[key.epoch].entries[key] = WitnessEntry(
            entry.digest, kept
        )

    def drop_expired(self) -> None:
        """Remove the epochs past their age, with all their entries."""
        now = self._clock.read_monotonic()
        expired = [
            number
            for number, epoch in self._open_epochs.items()
            if now - epoch.opened > self._retention.epoch_age
        ]
        for number in expired:
            for entry in self._open_epochs.pop(number).entries.values():
                self._answer_budget.release(entry.outcome)
