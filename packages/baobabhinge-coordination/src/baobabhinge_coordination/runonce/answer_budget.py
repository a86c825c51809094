"""Bounding the bytes of kept answers."""

import msgspec

from baobabhinge_coordination.runonce.outcomes import KeptAnswer, RunOnceOutcome
from baobabhinge_coordination.runonce.retention import Retention


class AnswerBudget:
    """Sum of the bodies kept in one table.

    Parameters
    ----------
    retention : Retention
        Bounds.
    """

    __slots__ = ('_retention', 'used_bytes')

    def __init__(self, retention: Retention) -> None:
        """Start at zero bytes."""
        self._retention = retention
        self.used_bytes = 0

    def admit(self, outcome: RunOnceOutcome | None) -> RunOnceOutcome | None:
        """Count the body of ``outcome``, or return it without its body."""
        size = _measure(outcome)
        room = self._retention.max_kept_bytes - self.used_bytes
        if size > min(room, self._retention.max_answer_bytes):
            return _strip(outcome)
        self.used_bytes += size
        return outcome

    def release(self, outcome: RunOnceOutcome | None) -> None:
        """Count the body of a dropped outcome no more."""
        self.used_bytes -= _measure(outcome)


def _measure(outcome: RunOnceOutcome | None) -> int:
    if outcome is None or outcome.answer is None:
        return 0
    return len(outcome.answer.body or b'')


def _strip(outcome: RunOnceOutcome | None) -> RunOnceOutcome | None:
    if outcome is None or outcome.answer is None:
        return outcome
    answer = outcome.answer
    stripped = KeptAnswer(answer.status, answer.headers, None)
    return msgspec.structs.replace(outcome, answer=stripped)
