"""Decisions of the owner of keys."""

import enum

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.entries import Entries, Entry, Step
from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.messages import IntentVerdict
from baobabhinge_coordination.runonce.outcomes import (
    Outcome,
    Reason,
    report_not_run,
    report_unknown,
)
from baobabhinge_coordination.runonce.retention import Retention


class Action(enum.Enum):
    """What the program around the owner does next."""

    record = 'record'
    dispatch = 'dispatch'
    join = 'join'
    report = 'report'


class Instruction(msgspec.Struct, frozen=True):
    """One decision.

    Parameters
    ----------
    action : Action
        ``record`` the intent at the witness and tell its verdict,
        ``dispatch`` now and tell the outcome, ``join`` the attempt that is
        running, or ``report`` the outcome.
    outcome : Outcome or None
        Outcome to report.
    """

    action: Action
    outcome: Outcome | None = None


INTENT_OUTCOMES = {
    IntentVerdict.sealed: report_not_run(Reason.sealed),
    IntentVerdict.refused: report_not_run(Reason.witness_refused),
    IntentVerdict.repeated: report_unknown(Reason.in_doubt),
    None: report_not_run(Reason.witness_silent),
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
        self.entries = Entries(clock, retention)

    def begin(self, key: RunOnceKey, digest: str) -> Instruction:
        """Decide about an attempt to run the request ``digest``."""
        refusal = self._refuse(key)
        if refusal is not None:
            return Instruction(Action.report, refusal)
        entry = self.entries.find(key)
        if entry is not None:
            return _repeat(entry, digest)
        if key.witness is None:
            self.entries.put(key, Entry(Step.dispatched, digest))
            return Instruction(Action.dispatch)
        self.entries.put(key, Entry(Step.recording, digest))
        return Instruction(Action.record)

    def resolve_intent(
        self,
        key: RunOnceKey,
        verdict: IntentVerdict | None,
    ) -> Instruction:
        """Decide after the answer of the witness.

        Parameters
        ----------
        key : RunOnceKey
            The key.
        verdict : IntentVerdict or None
            The witness's verdict; ``None`` when waiting for it has ended.
        """
        entry = self.entries.find(key)
        if entry is None or entry.step is not Step.recording:
            return _describe(entry)
        if verdict is IntentVerdict.recorded:
            self.entries.put(key, Entry(Step.dispatched, entry.digest))
            return Instruction(Action.dispatch)
        return _finish(self.entries, key, entry, INTENT_OUTCOMES[verdict])

    def settle(self, key: RunOnceKey, outcome: Outcome) -> Instruction:
        """Keep the outcome of a dispatched call."""
        entry = self.entries.find(key)
        if entry is None or entry.step is not Step.dispatched:
            return _describe(entry)
        return _finish(self.entries, key, entry, outcome)

    def tell(self, key: RunOnceKey) -> Outcome:
        """Return what is known about ``key``, and change nothing."""
        refusal = self._refuse(key)
        if refusal is not None:
            return refusal
        entry = self.entries.find(key)
        if entry is None:
            return report_unknown(Reason.unused)
        return entry.outcome or report_unknown(Reason.running)

    def close(self, key: RunOnceKey) -> Instruction:
        """Return the outcome; a key that was not used is closed."""
        refusal = self._refuse(key)
        if refusal is not None:
            return Instruction(Action.report, refusal)
        entry = self.entries.find(key)
        if entry is None:
            unused = Entry(Step.final, '')
            return _finish(
                self.entries, key, unused, report_not_run(Reason.closed)
            )
        return _describe(entry)

    def _refuse(self, key: RunOnceKey) -> Outcome | None:
        if key.owner != self.party:
            return report_unknown(Reason.owner_lost)
        if self.entries.is_expired(key):
            return report_unknown(Reason.expired)
        return None


def _finish(
    entries: Entries,
    key: RunOnceKey,
    entry: Entry,
    outcome: Outcome,
) -> Instruction:
    kept = entries.finish(key, entry, outcome)
    return Instruction(Action.report, kept)


def _describe(entry: Entry | None) -> Instruction:
    if entry is None:
        return Instruction(Action.report, report_unknown(Reason.expired))
    if entry.outcome is None:
        return Instruction(Action.join)
    return Instruction(Action.report, entry.outcome)


def _repeat(entry: Entry, digest: str) -> Instruction:
    if entry.digest and entry.digest != digest:
        refusal = report_not_run(Reason.other_request)
        return Instruction(Action.report, refusal)
    return _describe(entry)
