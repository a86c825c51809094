"""What was decided about a call, and why."""

from collections import Counter, deque
from datetime import timedelta

import msgspec

from baobabhinge_gateway.routing.targets import Target

KEPT_DECISIONS = 64
MILLISECOND = timedelta(milliseconds=1)


class Candidate(msgspec.Struct, frozen=True):
    """A target with what is expected of it.

    Parameters
    ----------
    target : Target
        The target.
    wait : timedelta
        Expected queueing.
    first : timedelta
        Expected time to the first piece of the answer, ``wait`` included.
    score : float
        Weighted objective; smaller is better.
    blocked : str
        Limit that keeps calls from it; empty if none does.
    """

    target: Target
    wait: timedelta = timedelta()
    first: timedelta = timedelta()
    score: float = 0
    blocked: str = ''


class Decision(msgspec.Struct, frozen=True):
    """The order in which targets are tried.

    Parameters
    ----------
    candidates : tuple of Candidate
        Candidates worth trying, the best one first.
    blocked : tuple of Candidate
        Candidates that a limit keeps out.
    """

    candidates: tuple[Candidate, ...]
    blocked: tuple[Candidate, ...] = ()


class CandidateReport(msgspec.Struct, frozen=True):
    """One candidate as ``/v1/status`` shows it."""

    vm: str
    remote: bool
    in_flight: int
    wait_ms: float
    first_ms: float
    blocked: str


class DecisionReport(msgspec.Struct, frozen=True):
    """One decision as ``/v1/status`` shows it."""

    request_id: str
    service: str
    candidates: list[CandidateReport]


class DecisionLog:
    """The newest decisions, and counters over all of them."""

    __slots__ = ('_recent', 'counters')

    def __init__(self) -> None:
        """Start empty."""
        self._recent: deque[DecisionReport] = deque(maxlen=KEPT_DECISIONS)
        self.counters: Counter[str] = Counter()

    def add(self, request_id: str, service: str, decision: Decision) -> None:
        """Record one decision."""
        for blocked in decision.blocked:
            self.counters[f'blocked-{blocked.blocked}'] += 1
        self.counters[_name_winner(decision)] += 1
        ranked = (*decision.candidates, *decision.blocked)
        self._recent.append(
            DecisionReport(
                request_id,
                service,
                [_describe(candidate) for candidate in ranked],
            ),
        )

    def list_recent(self) -> list[DecisionReport]:
        """Return the newest decisions, the oldest of them first."""
        return list(self._recent)


def _name_winner(decision: Decision) -> str:
    if not decision.candidates:
        return 'none'
    winner = decision.candidates[0].target
    return 'away' if winner.is_remote else 'home'


def _describe(candidate: Candidate) -> CandidateReport:
    return CandidateReport(
        candidate.target.vm.name,
        candidate.target.is_remote,
        candidate.target.in_flight,
        candidate.wait / MILLISECOND,
        candidate.first / MILLISECOND,
        candidate.blocked,
    )
