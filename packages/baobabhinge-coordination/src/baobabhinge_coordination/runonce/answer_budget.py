"""Bound on the bytes of kept answers."""

import msgspec

from baobabhinge_coordination.runonce.outcomes import KeptAnswer, RunOnceOutcome
from baobabhinge_coordination.runonce.retention import Retention


class AnswerBudget:
    """Bytes of the answer bodies kept in one table, within their bounds.

    Parameters
    ----------
    retention : Retention
        Bounds on the bytes of one body and of all bodies.

    Attributes
    ----------
    used_bytes : int
        Sum of the lengths of the kept bodies.
    """

    __slots__ = ('_retention', 'used_bytes')

    def __init__(self, retention: Retention) -> None:
        """Start with no bytes used."""
        self._retention = retention
        self.used_bytes = 0

    def admit(self, outcome: RunOnceOutcome | None) -> RunOnceOutcome | None:
        """Return ``outcome`` as it is kept, and count the bytes of its body.

        A body beyond the bounds is left out and not counted.
        """
        size = _measure_body(outcome)
        room = self._retention.max_kept_bytes - self.used_bytes
        if size > min(room, self._retention.max_answer_bytes):
            return _remove_body(outcome)
        self.used_bytes += size
        return outcome

    def release(self, outcome: RunOnceOutcome | None) -> None:
        """Subtract the bytes of the body of a removed outcome."""
        self.used_bytes -= _measure_body(outcome)


def _measure_body(outcome: RunOnceOutcome | None) -> int:
    if outcome is None or outcome.answer is None:
        return 0
    return len(outcome.answer.body or b'')


def _remove_body(outcome: RunOnceOutcome | None) -> RunOnceOutcome | None:
    if outcome is None or outcome.answer is None:
        return outcome
    answer = outcome.answer
    stripped = KeptAnswer(answer.status, answer.headers, None)
    return msgspec.structs.replace(outcome, answer=stripped)
