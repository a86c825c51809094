"""Routes, which assign calls to services by host and path."""

import enum
from datetime import timedelta

import msgspec

NO_TIME = timedelta()


class CallKind(enum.Enum):
    """Kinds of calls, by whether and how they may be retried."""

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
        """Whether the call is idempotent, so that it may run again."""
        return self is CallKind.repeatable

    @property
    def is_resumable(self) -> bool:
        """Whether another engine may continue a broken stream."""
        return self is CallKind.resumable


class Split(msgspec.Struct, frozen=True):
    """One share of the calls of a route.

    Parameters
    ----------
    service : str
        Service that gets the share.
    weight : float
        Size of the share, relative to the weights of the other splits.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Rule for the calls to one host below one path prefix.

    Parameters
    ----------
    name, host, path_prefix : str
        Name of the route, and host and path prefix of its calls. Of several
        matching routes, the one with the longest prefix applies.
    kind : CallKind
        Whether and how calls may be retried.
    splits : tuple of Split
        Services that get the calls, at least one.
    time_limit : timedelta
        Bound on the time of a whole call; a caller may ask for less.
    objective : timedelta
        Latency objective for the answer, or for the first event of a stream.
    longest_pause : timedelta
        Objective for the longest time between two events of a stream.
    priority : int
        Priority of the calls; 0 is the most urgent.
    max_attempts : int
        Bound on the backend servers to which one call is sent.
    regions : tuple of str
        Regions in which the calls may be served; empty for all.
    is_public : bool
        Whether callers need no key although the configuration has workspaces.
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
    is_public: bool = False

    def allows(self, region: str) -> bool:
        """Whether calls may be served in ``region``."""
        return not self.regions or region in self.regions
