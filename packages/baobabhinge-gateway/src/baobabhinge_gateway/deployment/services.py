"""Services, their engines and their backend servers."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment.routes import NO_TIME


class Engine(msgspec.Struct, frozen=True):
    """Capacity of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that one engine runs at once.
    memory : int
        Tokens that fit into the memory of one engine.
    token_bytes : int
        Bytes of memory that one token takes.
    copy_rate : float
        Megabits a second at which an engine copies memory from another one; 0
        if engines can't copy.
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
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one server accepts from all gateways together.
    warm_up : timedelta
        How long a server is cold after its start.
    warm_up_rate : float
        Calls a second that a cold server can take; 0 for no limit.
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
        Name, sent with each request so that no other server executes it.
    service : str
        Service that it belongs to.
    address : str
        ``host:port``.
    failure_domain : str
        Failure domain of its vm.
    slots : int
        Calls that it runs at once.
    is_leaving : bool
        Whether it takes no new calls.
    cold_for : timedelta
        How much longer it is cold, as of the time of writing the entry.
    started : int
        Start of the incarnation, in Unix milliseconds; 0 if unknown.
    software : str
        Version of the software that it runs; empty if unknown.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int = 1
    is_leaving: bool = False
    cold_for: timedelta = NO_TIME
    started: int = 0
    software: str = ''
