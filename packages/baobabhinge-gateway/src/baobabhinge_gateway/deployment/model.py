"""Typed configuration of routes and services, and the backend servers."""

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


class Engine(msgspec.Struct, frozen=True):
    """Size of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    memory : int
        Tokens that fit into the memory of one engine.
    """

    slots: int
    memory: int


class Service(msgspec.Struct, frozen=True):
    """A group of backend servers that answer the same calls.

    Parameters
    ----------
    name : str
        Identity.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one server takes from all gateways together.
    warm_up : timedelta
        How long a server is cold after its start.
    warm_up_rate : float
        Calls a second that a cold server bears; 0 if it has no such limit.
    engine : Engine or None
        Set for model engines.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up: timedelta = NO_TIME
    warm_up_rate: float = 0.0
    engine: Engine | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how slowly."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


class Revision(msgspec.Struct, frozen=True):
    """One accepted configuration.

    Parameters
    ----------
    version : int
        Grows with each change, in uneven steps.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        All services by name.
    limits : RequestLimits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits


class BackendServer(msgspec.Struct, frozen=True):
    """One incarnation of a backend server.

    Parameters
    ----------
    name : str
        Identity, pinned on each exchange.
    service : str
        Service that it belongs to.
    address : str
        ``host:port``.
    failure_domain : str
        Where it stands.
    slots : int
        Calls that it runs at once.
    is_leaving : bool
        Whether it takes no new calls.
    cold_for : timedelta
        How much longer it is cold, when the entry was written.
    started : int
        Start of the incarnation, in Unix milliseconds; 0 if it is not told.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int = 1
    is_leaving: bool = False
    cold_for: timedelta = NO_TIME
    started: int = 0
