"""Bounding the bytes of kept answers."""

import msgspec

from baobabhinge_coordination.runonce.outcomes import KeptAnswer, Outcome
from baobabhinge_coordination.runonce.retention import Retention


class KeptBytes:
    """Sum of the bodies kept in one table.

    Parameters
    ----------
    retention : Retention
        Bounds.
    """

    __slots__ = ('_retention', 'total')

    def __init__(self, retention: Retention) -> None:
        """Start at zero bytes."""
        self._retention = retention
        self.total = 0

    def admit(self, outcome: Outcome | None) -> Outcome | None:
        """Count the body of ``outcome``, or return it without its body."""
        size = _measure(outcome)
        room = self._retention.max_kept_bytes - self.total
        if size > min(room, self._retention.max_answer_bytes):
            return _strip(outcome)
        self.total += size
        return outcome

    def release(self, outcome: Outcome | None) -> None:
        """Count the body of a dropped outcome no more."""
        self.total -= _measure(outcome)


def _measure(outcome: Outcome | None) -> int:
    if outcome is None or outcome.answer is None:
        return 0
    return len(outcome.answer.body or b'')


def _strip(outcome: Outcome | None) -> Outcome | None:
    if outcome is None or outcome.answer is None:
        return outcome
    answer = outcome.answer
    stripped = KeptAnswer(answer.status, answer.headers, None)
    return msgspec.structs.replace(outcome, answer=stripped)
