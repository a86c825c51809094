"""Decisions of the witness of run-once keys."""

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
    """Record intents, so that ``not run`` can be reported without the owner.

    The first message about a key decides. After an intent, ``not run`` is
    reported only if the owner has reported it; after a seal, no intent is
    recorded.

    Parameters
    ----------
    party : Party
        This process.
    clock : Clock
        Clock by which the age of epochs is measured.
    retention : Retention
        Bounds on epochs, entries and the bytes of kept answers.

    Attributes
    ----------
    epochs : EpochTable
        Epochs that this witness holds.
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

        The witness chooses the number and never uses it again, so a repeated
        or late message can't restore a removed epoch.

        Raises
        ------
        WitnessFullError
            If the witness holds its maximum of epochs.
        """
        return EpochOpened(self.party, self.epochs.open(message.owner))

    def record_intent(self, message: RecordIntent) -> IntentVerdict:
        """Record an intent unless the key has an entry already."""
        if not self._holds_epoch(message.key):
            return IntentVerdict.refused
        entry = self.epochs.find(message.key)
        if entry is not None:
            return _choose_repeat_verdict(entry)
        if self.epochs.is_full(message.key):
            return IntentVerdict.refused
        self.epochs.put(message.key, WitnessEntry(message.digest))
        return IntentVerdict.recorded

    def copy_outcome(self, message: CopyOutcome) -> None:
        """Store the outcome of a call if its intent is recorded."""
        if not self._holds_epoch(message.key):
            return
        entry = self.epochs.find(message.key)
        if entry is not None and entry.outcome is None:
            self.epochs.put(
                message.key, WitnessEntry(entry.digest, message.outcome)
            )

    def look_up(self, message: AskOutcome) -> RunOnceOutcome:
        """Return the known outcome of a key without changing its state."""
        if not self._holds_epoch(message.key):
            return WITNESS_LOST
        entry = self.epochs.find(message.key)
        if entry is None:
            return build_unknown_outcome(OutcomeReason.unused)
        return _read_outcome(entry, message.digest)

    def seal(self, message: AskOutcome) -> RunOnceOutcome:
        """Return the outcome; seal a key that has no intent, permanently."""
        if not self._holds_epoch(message.key):
            return WITNESS_LOST
        entry = self.epochs.find(message.key)
        if entry is not None:
            return _read_outcome(entry, message.digest)
        if self.epochs.is_full(message.key):
            return WITNESS_LOST
        self.epochs.put(message.key, WitnessEntry('', SEALED))
        return SEALED

    def _holds_epoch(self, key: RunOnceKey) -> bool:
        if key.witness != self.party:
            return False
        return self.epochs.is_open(key)


def _choose_repeat_verdict(entry: WitnessEntry) -> IntentVerdict:
    if entry.outcome == SEALED:
        return IntentVerdict.sealed
    return IntentVerdict.repeated


def _read_outcome(entry: WitnessEntry, digest: str) -> RunOnceOutcome:
    if digest and entry.digest not in {'', digest}:
        return build_not_run_outcome(OutcomeReason.other_request)
    if entry.outcome is None:
        return IN_DOUBT
    return entry.outcome
