"""Decisions of the witness of keys."""

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.epochs import Epochs, Row
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
    Outcome,
    Reason,
    report_not_run,
    report_unknown,
)
from baobabhinge_coordination.runonce.retention import Retention

SEALED = report_not_run(Reason.sealed)
IN_DOUBT = report_unknown(Reason.in_doubt)
LOST = report_unknown(Reason.witness_lost)


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
        self.epochs = Epochs(clock, retention)

    def open_epoch(self, order: OpenEpoch) -> EpochOpened:
        """Open a new epoch for an owner.

        The number comes from the witness and is never given again, so a
        repeated or late order can't bring a dropped epoch back.

        Raises
        ------
        WitnessFullError
            If too many epochs are open.
        """
        return EpochOpened(self.party, self.epochs.open(order.owner))

    def record(self, order: RecordIntent) -> IntentVerdict:
        """Record an intent unless the key has a row already."""
        if not self._holds(order.key):
            return IntentVerdict.refused
        row = self.epochs.find(order.key)
        if row is not None:
            return _judge_repeat(row)
        if self.epochs.is_full(order.key):
            return IntentVerdict.refused
        self.epochs.put(order.key, Row(order.digest))
        return IntentVerdict.recorded

    def copy(self, order: CopyOutcome) -> None:
        """Keep how a call ended, if its intent is known."""
        if not self._holds(order.key):
            return
        row = self.epochs.find(order.key)
        if row is not None and row.outcome is None:
            self.epochs.put(order.key, Row(row.digest, order.outcome))

    def tell(self, order: AskOutcome) -> Outcome:
        """Return what is known about a key, and change nothing."""
        if not self._holds(order.key):
            return LOST
        row = self.epochs.find(order.key)
        if row is None:
            return report_unknown(Reason.unused)
        return _describe(row, order.digest)

    def seal(self, order: AskOutcome) -> Outcome:
        """Return the outcome; a key without intent is sealed for good."""
        if not self._holds(order.key):
            return LOST
        row = self.epochs.find(order.key)
        if row is not None:
            return _describe(row, order.digest)
        if self.epochs.is_full(order.key):
            return LOST
        self.epochs.put(order.key, Row('', SEALED))
        return SEALED

    def _holds(self, key: RunOnceKey) -> bool:
        if key.witness != self.party:
            return False
        return self.epochs.is_open(key)


def _judge_repeat(row: Row) -> IntentVerdict:
    if row.outcome == SEALED:
        return IntentVerdict.sealed
    return IntentVerdict.repeated


def _describe(row: Row, digest: str) -> Outcome:
    if digest and row.digest not in {'', digest}:
        return report_not_run(Reason.other_request)
    if row.outcome is None:
        return IN_DOUBT
    return row.outcome
