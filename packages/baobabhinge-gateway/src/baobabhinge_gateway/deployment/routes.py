"""Routes: how the calls below one path of one host are served."""

import enum
from datetime import timedelta

import msgspec

NO_TIME = timedelta()


class CallKind(enum.Enum):
    """What may be repeated of a call."""

    repeatable = 'repeatable'
    run_once = 'run-once'
    streamed = 'streamed'
    resumable = 'resumable'

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in {CallKind.streamed, CallKind.resumable}

    @property
    def is_repeatable(self) -> bool:
        """Whether a second run does no harm."""
        return self is CallKind.repeatable

    @property
    def is_resumable(self) -> bool:
        """Whether a stream may go on at another engine."""
        return self is CallKind.resumable


class Split(msgspec.Struct, frozen=True):
    """One share of the calls of a route.

    Parameters
    ----------
    service : str
        Service that takes the share.
    weight : float
        Size of the share beside the weights of the other splits.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How the calls below one path of one host are served.

    Parameters
    ----------
    name, host, path_prefix : str
        Identity of the route; the longest prefix of a path wins.
    kind : CallKind
        What may be repeated.
    splits : tuple of Split
        Services that take the calls, at least one.
    time_limit : timedelta
        Longest time that a call is kept waiting.
    objective : timedelta
        Time within which the answer, or its first event, is in time.
    longest_pause : timedelta
        Longest pause between two events of a stream that is in time.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Backend servers to which one call may be sent.
    regions : tuple of str
        Regions in which the calls may be served; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    splits: tuple[Split, ...]
    time_limit: timedelta
    objective: timedelta
    longest_pause: timedelta = NO_TIME
    priority: int = 0
    max_attempts: int = 1
    regions: tuple[str, ...] = ()

    def allows(self, region: str) -> bool:
        """Whether calls may be served in ``region``."""
        return not self.regions or region in self.regions
