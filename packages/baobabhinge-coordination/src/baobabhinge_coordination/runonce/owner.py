"""Decisions of the owner of run-once keys."""

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
    """What the program that embeds the owner does next."""

    record = 'record'
    dispatch = 'dispatch'
    join = 'join'
    report = 'report'


class OwnerInstruction(msgspec.Struct, frozen=True):
    """Instruction of an owner to the program that embeds it.

    Parameters
    ----------
    action : OwnerAction
        ``record``: record the intent at the witness, then call
        `Owner.resolve_intent`. ``dispatch``: send the call to a backend
        server, then call `Owner.record_outcome`. ``join``: wait for the
        attempt that is running. ``report``: return the outcome to the caller.
    outcome : RunOnceOutcome or None
        Outcome to report; ``None`` for the other actions.
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
    """Decide about the calls of the keys that this process owns.

    A key is in the step ``recording`` until its witness has answered, then
    ``dispatched`` until the call has ended, then ``final``. A key never leaves
    the final step, so a verdict of the witness that arrives after ``not run``
    was reported has no effect.

    Parameters
    ----------
    party : Party
        This process.
    clock : Clock
        Clock by which the age of keys is measured.
    retention : Retention
        Bounds on the age of keys and on the bytes of kept answers.

    Attributes
    ----------
    entries : OwnerTable
        Entries of the used keys.
    """

    __slots__ = ('entries', 'party')

    def __init__(
        self,
        party: Party,
        clock: Clock,
        retention: Retention,
    ) -> None:
        """Start without entries."""
        self.party = party
        self.entries = OwnerTable(clock, retention)

    def begin(self, key: RunOnceKey, digest: str) -> OwnerInstruction:
        """Decide about an attempt to run the request with ``digest``."""
        refusal = self._check_key(key)
        if refusal is not None:
            return OwnerInstruction(OwnerAction.report, refusal)
        entry = self.entries.find(key)
        if entry is not None:
            return _decide_retry(entry, digest)
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
        """Decide by the verdict of the witness on the intent.

        Parameters
        ----------
        key : RunOnceKey
            Key of the call.
        verdict : IntentVerdict or None
            Verdict of the witness; ``None`` if it didn't answer in time.
        """
        entry = self.entries.find(key)
        if entry is None or entry.step is not KeyStep.recording:
            return _decide_by_entry(entry)
        if verdict is IntentVerdict.recorded:
            self.entries.put(key, OwnerEntry(KeyStep.dispatched, entry.digest))
            return OwnerInstruction(OwnerAction.dispatch)
        return _finish(
            self.entries, key, entry, FAILED_INTENT_OUTCOMES[verdict]
        )

    def record_outcome(
        self, key: RunOnceKey, outcome: RunOnceOutcome
    ) -> OwnerInstruction:
        """Record the outcome of a dispatched call."""
        entry = self.entries.find(key)
        if entry is None or entry.step is not KeyStep.dispatched:
            return _decide_by_entry(entry)
        return _finish(self.entries, key, entry, outcome)

    def look_up(self, key: RunOnceKey) -> RunOnceOutcome:
        """Return the known outcome of ``key`` without changing its state."""
        refusal = self._check_key(key)
        if refusal is not None:
            return refusal
        entry = self.entries.find(key)
        if entry is None:
            return build_unknown_outcome(OutcomeReason.unused)
        return entry.outcome or build_unknown_outcome(OutcomeReason.running)

    def close(self, key: RunOnceKey) -> OwnerInstruction:
        """Decide about a request for the outcome; close an unused key."""
        refusal = self._check_key(key)
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
        return _decide_by_entry(entry)

    def _check_key(self, key: RunOnceKey) -> RunOnceOutcome | None:
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


def _decide_by_entry(entry: OwnerEntry | None) -> OwnerInstruction:
    if entry is None:
        return OwnerInstruction(
            OwnerAction.report, build_unknown_outcome(OutcomeReason.expired)
        )
    if entry.outcome is None:
        return OwnerInstruction(OwnerAction.join)
    return OwnerInstruction(OwnerAction.report, entry.outcome)


def _decide_retry(entry: OwnerEntry, digest: str) -> OwnerInstruction:
    if entry.digest and entry.digest != digest:
        refusal = build_not_run_outcome(OutcomeReason.other_request)
        return OwnerInstruction(OwnerAction.report, refusal)
    return _decide_by_entry(entry)
