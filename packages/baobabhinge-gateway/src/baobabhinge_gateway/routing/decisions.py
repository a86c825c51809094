"""Candidates for a call and the order in which they are tried."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.routing.targets import RoutingTarget


class Candidate(msgspec.Struct, frozen=True):
    """Target with its expected times and its score.

    Parameters
    ----------
    target : RoutingTarget
        Backend server or remote gateway.
    wait : timedelta
        Expected queueing delay.
    first : timedelta
        Expected time to the first chunk of the answer, including ``wait``.
    score : float
        Weighted score; smaller is better.
    blocked : str
        Limit that excludes the target; empty if none does.
    """

    target: RoutingTarget
    wait: timedelta = timedelta()
    first: timedelta = timedelta()
    score: float = 0
    blocked: str = ''


class Decision(msgspec.Struct, frozen=True):
    """Order in which the targets of a call are tried.

    Parameters
    ----------
    candidates : tuple of Candidate
        Candidates that may be tried, the best one first.
    blocked : tuple of Candidate
        Candidates that a limit excludes.
    """

    candidates: tuple[Candidate, ...]
    blocked: tuple[Candidate, ...] = ()

    @property
    def best(self) -> Candidate:
        """Return the first candidate; ``candidates`` must not be empty."""
        return self.candidates[0]
