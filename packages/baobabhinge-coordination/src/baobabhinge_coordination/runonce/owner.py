"""Decisions of the owner of keys."""

import enum

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.messages import IntentVerdict
from baobabhinge_coordination.runonce.outcomes import (
    OutcomeReason,
    RunOnceOutcome,
    build_not_run_outcome,
    build_unknown_outcome,
)
from baobabhinge_coordination.runonce.owner_table import (
    KeyStep,
    OwnerEntry,
    OwnerTable,
)
from baobabhinge_coordination.runonce.retention import Retention


class OwnerAction(enum.Enum):
    """What the program around the owner does next."""

    record = 'record'
    dispatch = 'dispatch'
    join = 'join'
    report = 'report'


class OwnerInstruction(msgspec.Struct, frozen=True):
    """One decision.

    Parameters
    ----------
    action : OwnerAction
        ``record`` the intent at the witness and tell its verdict,
        ``dispatch`` now and tell the outcome, ``join`` the attempt that is
        running, or ``report`` the outcome.
    outcome : RunOnceOutcome or None
        Outcome to report.
    """

    action: OwnerAction
    outcome: RunOnceOutcome | None = None


FAILED_INTENT_OUTCOMES = {
    IntentVerdict.sealed: build_not_run_outcome(OutcomeReason.sealed),
    IntentVerdict.refused: build_not_run_outcome(OutcomeReason.witness_refused),
    IntentVerdict.repeated: build_unknown_outcome(OutcomeReason.in_doubt),
    None: build_not_run_outcome(OutcomeReason.witness_silent),
}


class Owner:
    """The only process that runs the calls of its keys.

    A key is ``recording`` until its witness has answered, ``dispatched`` from
    then on until the call has ended, and final after that. Nothing leaves the
    final step, so an answer of the witness that comes after ``not run`` was
    said finds the key closed.

    Parameters
    ----------
    party : Party
        This process.
    clock : Clock
        Clock of the ages.
    retention : Retention
        Bounds.
    """

    __slots__ = ('entries', 'party')

    def __init__(
        self,
        party: Party,
        clock: Clock,
        retention: Retention,
    ) -> None:
        """Start without keys."""
        self.party = party
        self.entries = OwnerTable(clock, retention)

    def begin(self, key: RunOnceKey, digest: str) -> OwnerInstruction:
        """Decide about an attempt to run the request ``digest``."""
        refusal = self._refuse(key)
        if refusal is not None:
            return OwnerInstruction(OwnerAction.report, refusal)
        entry = self.entries.find(key)
        if entry is not None:
            return _repeat(entry, digest)
        if key.witness is None:
            self.entries.put(key, OwnerEntry(KeyStep.dispatched, digest))
            return OwnerInstruction(OwnerAction.dispatch)
        self.entries.put(key, OwnerEntry(KeyStep.recording, digest))
        return OwnerInstruction(OwnerAction.record)

    def resolve_intent(
        self,
        key: RunOnceKey,
        verdict: IntentVerdict | None,
    ) -> OwnerInstruction:
        """Decide after the answer of the witness.

        Parameters
        ----------
        key : RunOnceKey
            The key.
        verdict : IntentVerdict or None
            The witness's verdict; ``None`` when waiting for it has ended.
        """
        entry = self.entries.find(key)
        if entry is None or entry.step is not KeyStep.recording:
            return _describe(entry)
        if verdict is IntentVerdict.recorded:
            self.entries.put(key, OwnerEntry(KeyStep.dispatched, entry.digest))
            return OwnerInstruction(OwnerAction.dispatch)
        return _finish(
            self.entries, key, entry, FAILED_INTENT_OUTCOMES[verdict]
        )

    def record_outcome(
        self, key: RunOnceKey, outcome: RunOnceOutcome
    ) -> OwnerInstruction:
        """Keep the outcome of a dispatched call."""
        entry = self.entries.find(key)
        if entry is None or entry.step is not KeyStep.dispatched:
            return _describe(entry)
        return _finish(self.entries, key, entry, outcome)

    def look_up(self, key: RunOnceKey) -> RunOnceOutcome:
        """Return what is known about ``key``, and change nothing."""
        refusal = self._refuse(key)
        if refusal is not None:
            return refusal
        entry = self.entries.find(key)
        if entry is None:
            return build_unknown_outcome(OutcomeReason.unused)
        return entry.outcome or build_unknown_outcome(OutcomeReason.running)

    def close(self, key: RunOnceKey) -> OwnerInstruction:
        """Return the outcome; a key that was not used is closed."""
        refusal = self._refuse(key)
        if refusal is not None:
            return OwnerInstruction(OwnerAction.report, refusal)
        entry = self.entries.find(key)
        if entry is None:
            unused = OwnerEntry(KeyStep.final, '')
            return _finish(
                self.entries,
                key,
                unused,
                build_not_run_outcome(OutcomeReason.closed),
            )
        return _describe(entry)

    def _refuse(self, key: RunOnceKey) -> RunOnceOutcome | None:
        if key.owner != self.party:
            return build_unknown_outcome(OutcomeReason.owner_lost)
        if self.entries.is_expired(key):
            return build_unknown_outcome(OutcomeReason.expired)
        return None


def _finish(
    entries: OwnerTable,
    key: RunOnceKey,
    entry: OwnerEntry,
    outcome: RunOnceOutcome,
) -> OwnerInstruction:
    kept = entries.finish(key, entry, outcome)
    return OwnerInstruction(OwnerAction.report, kept)


def _describe(entry: OwnerEntry | None) -> OwnerInstruction:
    if entry is None:
        return OwnerInstruction(
            OwnerAction.report, build_unknown_outcome(OutcomeReason.expired)
        )
    if entry.outcome is None:
        return OwnerInstruction(OwnerAction.join)
    return OwnerInstruction(OwnerAction.report, entry.outcome)


def _repeat(entry: OwnerEntry, digest: str) -> OwnerInstruction:
    if entry.digest and entry.digest != digest:
        refusal = build_not_run_outcome(OutcomeReason.other_request)
        return OwnerInstruction(OwnerAction.report, refusal)
    return _describe(entry)
