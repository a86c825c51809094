"""Bounded table of the used keys of an owner."""

import enum
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.answer_budget import AnswerBudget
from baobabhinge_coordination.runonce.keys import RunOnceKey
from baobabhinge_coordination.runonce.outcomes import RunOnceOutcome
from baobabhinge_coordination.runonce.retention import Retention


class KeyStep(enum.Enum):
    """Progress of a call at the owner of its key."""

    recording = 'recording'
    dispatched = 'dispatched'
    final = 'final'


class OwnerEntry(msgspec.Struct, frozen=True):
    """State of one used key.

    Parameters
    ----------
    step : KeyStep
        Progress of the call.
    digest : str
        Digest of the request; empty if the key was closed unused.
    outcome : RunOnceOutcome or None
        Final outcome; ``None`` before the step ``final``.
    """

    step: KeyStep
    digest: str
    outcome: RunOnceOutcome | None = None


class OwnerTable:
    """Entries of an owner by key.

    Their number is bounded by the keys that the owner mints, as keys that it
    did not mint never reach the table. An entry is kept until its key is past
    the age at which the owner refuses it, so that a used key is never taken
    for an unused one.

    Parameters
    ----------
    clock : Clock
        Clock by which the age of keys is measured.
    retention : Retention
        Bounds on the age of keys and on the bytes of kept answers.
    """

    __slots__ = ('_answer_budget', '_clock', '_entries', '_retention')

    def __init__(self, clock: Clock, retention: Retention) -> None:
        """Start without entries."""
        self._clock = clock
        self._retention = retention
        self._answer_budget = AnswerBudget(retention)
        self._entries: dict[RunOnceKey, OwnerEntry] = {}

    def find(self, key: RunOnceKey) -> OwnerEntry | None:
        """Return the entry of ``key``; ``None`` if there is none."""
        return self._entries.get(key)

    def put(self, key: RunOnceKey, entry: OwnerEntry) -> None:
        """Add or replace the entry of ``key``."""
        self._entries[key] = entry

    def finish(
        self,
        key: RunOnceKey,
        entry: OwnerEntry,
        outcome: RunOnceOutcome,
    ) -> RunOnceOutcome:
        """Store and return the final outcome.

        A body beyond the bounds is returned, but not stored.
        """
        kept = self._answer_budget.admit(outcome)
        self.put(key, OwnerEntry(KeyStep.final, entry.digest, kept))
        return outcome

    def is_expired(self, key: RunOnceKey) -> bool:
        """Return whether ``key`` is past the age at which it is refused."""
        age: timedelta = self._clock.read_monotonic() - key.minted
        return age > self._retention.key_age

    def drop_expired(self) -> None:
        """Remove the entries of ended calls whose keys are expired."""
        expired = [
            key
            for key, entry in self._entries.items()
            if entry.step is KeyStep.final and self.is_expired(key)
        ]
        for key in expired:
            self._answer_budget.release(self._entries.pop(key).outcome)
