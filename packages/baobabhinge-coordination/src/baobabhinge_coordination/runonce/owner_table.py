"""Bounded table of the keys that an owner remembers."""

import enum
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.answer_budget import AnswerBudget
from baobabhinge_coordination.runonce.keys import RunOnceKey
from baobabhinge_coordination.runonce.outcomes import RunOnceOutcome
from baobabhinge_coordination.runonce.retention import Retention


class KeyStep(enum.Enum):
    """How far a key has come at its owner."""

    recording = 'recording'
    dispatched = 'dispatched'
    final = 'final'


class OwnerEntry(msgspec.Struct, frozen=True):
    """One used key.

    Parameters
    ----------
    step : KeyStep
        How far it has come.
    digest : str
        Digest of the request; empty if the key was closed without one.
    outcome : RunOnceOutcome or None
        Outcome, once final.
    """

    step: KeyStep
    digest: str
    outcome: RunOnceOutcome | None = None


class OwnerTable:
    """Entries by key.

    Their number is bounded by the keys that the owner mints: a key that it
    did not mint never gets here. An entry outlives the age at which its key
    is refused.

    Parameters
    ----------
    clock : Clock
        Clock of the ages.
    retention : Retention
        Bounds.
    """

    __slots__ = ('_clock', '_kept', '_retention', '_rows')

    def __init__(self, clock: Clock, retention: Retention) -> None:
        """Start empty."""
        self._clock = clock
        self._retention = retention
        self._kept = AnswerBudget(retention)
        self._rows: dict[RunOnceKey, OwnerEntry] = {}

    def find(self, key: RunOnceKey) -> OwnerEntry | None:
        """Return the entry of ``key``, if there is one."""
        return self._rows.get(key)

    def put(self, key: RunOnceKey, entry: OwnerEntry) -> None:
        """Set the entry of ``key``."""
        self._rows[key] = entry

    def finish(
        self,
        key: RunOnceKey,
        entry: OwnerEntry,
        outcome: RunOnceOutcome,
    ) -> RunOnceOutcome:
        """Set the final outcome; a body over the bounds is not kept."""
        kept = self._kept.admit(outcome)
        self.put(key, OwnerEntry(KeyStep.final, entry.digest, kept))
        return outcome

    def is_expired(self, key: RunOnceKey) -> bool:
        """Tell whether ``key`` is past the age at which it is refused."""
        age: timedelta = self._clock.read_monotonic() - key.minted
        return age > self._retention.key_age

    def drop_expired(self) -> None:
        """Forget the ended calls of keys past their age."""
        expired = [
            key
            for key, entry in self._rows.items()
            if entry.step is KeyStep.final and self.is_expired(key)
        ]
        for key in expired:
            self._kept.release(self._rows.pop(key).outcome)
