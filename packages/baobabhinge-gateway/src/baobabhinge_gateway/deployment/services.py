"""Services, their engines and their backend servers."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment.routes import NO_TIME


class Engine(msgspec.Struct, frozen=True):
    """Size of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    memory : int
        Tokens that fit into the memory of one engine.
    token_bytes : int
        Bytes of memory that one token takes.
    copy_rate : float
        Megabits a second at which engines copy memory from each other; 0 if
        they do not.
    """

    slots: int
    memory: int
    token_bytes: int = 0
    copy_rate: float = 0


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
    warm_up_rate: float = 0
    engine: Engine | None = None


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
