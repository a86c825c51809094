"""What was decided about a call, and why."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.routing.targets import RoutingTarget


class Candidate(msgspec.Struct, frozen=True):
    """A target with what is expected of it.

    Parameters
    ----------
    target : RoutingTarget
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

    target: RoutingTarget
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

    @property
    def best(self) -> Candidate:
        """Return the first candidate; there is one."""
        return self.candidates[0]
