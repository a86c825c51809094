"""Decisions of the witness of keys."""

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.epochs import EpochTable, WitnessEntry
from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.messages import (
    AskOutcome,
    CopyOutcome,
    EpochOpened,
    IntentVerdict,
    OpenEpoch,
    RecordIntent,
)
from baobabhinge_coordination.runonce.outcomes import (
    OutcomeReason,
    RunOnceOutcome,
    build_not_run_outcome,
    build_unknown_outcome,
)
from baobabhinge_coordination.runonce.retention import Retention

SEALED = build_not_run_outcome(OutcomeReason.sealed)
IN_DOUBT = build_unknown_outcome(OutcomeReason.in_doubt)
WITNESS_LOST = build_unknown_outcome(OutcomeReason.witness_lost)


class Witness:
    """Remember intents, so that ``not run`` can be told without the owner.

    For one key the first message decides: after an intent nobody is told
    ``not run`` unless the owner says so, and after a seal no intent is
    recorded.

    Parameters
    ----------
    party : Party
        This process.
    clock : Clock
        Clock of the ages of epochs.
    retention : Retention
        Bounds.
    """

    __slots__ = ('epochs', 'party')

    def __init__(
        self,
        party: Party,
        clock: Clock,
        retention: Retention,
    ) -> None:
        """Start without epochs."""
        self.party = party
        self.epochs = EpochTable(clock, retention)

    def open_epoch(self, message: OpenEpoch) -> EpochOpened:
        """Open a new epoch for an owner.

        The number comes from the witness and is never given again, so a
        repeated or late order can't bring a dropped epoch back.

        Raises
        ------
        WitnessFullError
            If too many epochs are open.
        """
        return EpochOpened(self.party, self.epochs.open(message.owner))

    def record_intent(self, message: RecordIntent) -> IntentVerdict:
        """Record an intent unless the key has a row already."""
        if not self._holds(message.key):
            return IntentVerdict.refused
        row = self.epochs.find(message.key)
        if row is not None:
            return _judge_repeat(row)
        if self.epochs.is_full(message.key):
            return IntentVerdict.refused
        self.epochs.put(message.key, WitnessEntry(message.digest))
        return IntentVerdict.recorded

    def copy_outcome(self, message: CopyOutcome) -> None:
        """Keep how a call ended, if its intent is known."""
        if not self._holds(message.key):
            return
        row = self.epochs.find(message.key)
        if row is not None and row.outcome is None:
            self.epochs.put(
                message.key, WitnessEntry(row.digest, message.outcome)
            )

    def look_up(self, message: AskOutcome) -> RunOnceOutcome:
        """Return what is known about a key, and change nothing."""
        if not self._holds(message.key):
            return WITNESS_LOST
        row = self.epochs.find(message.key)
        if row is None:
            return build_unknown_outcome(OutcomeReason.unused)
        return _describe(row, message.digest)

    def seal(self, message: AskOutcome) -> RunOnceOutcome:
        """Return the outcome; a key without intent is sealed for good."""
        if not self._holds(message.key):
            return WITNESS_LOST
        row = self.epochs.find(message.key)
        if row is not None:
            return _describe(row, message.digest)
        if self.epochs.is_full(message.key):
            return WITNESS_LOST
        self.epochs.put(message.key, WitnessEntry('', SEALED))
        return SEALED

    def _holds(self, key: RunOnceKey) -> bool:
        if key.witness != self.party:
            return False
        return self.epochs.is_open(key)


def _judge_repeat(row: WitnessEntry) -> IntentVerdict:
    if row.outcome == SEALED:
        return IntentVerdict.sealed
    return IntentVerdict.repeated


def _describe(row: WitnessEntry, digest: str) -> RunOnceOutcome:
    if digest and row.digest not in {'', digest}:
        return build_not_run_outcome(OutcomeReason.other_request)
    if row.outcome is None:
        return IN_DOUBT
    return row.outcome
