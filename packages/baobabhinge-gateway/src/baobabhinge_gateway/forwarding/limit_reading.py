"""Reading of the limits that backend servers name on their answers."""

import structlog
from aiohttp import ClientResponse

from baobabhinge_gateway.forwarding.protocols import BackendProtocol
from baobabhinge_gateway.forwarding.server_limits import (
    ServerLimits,
    UnreadableLimitError,
)

log = structlog.get_logger(__name__)


def record_limit(
    limits: ServerLimits,
    backends: BackendProtocol,
    server: str,
    response: ClientResponse,
    *,
    may_end: bool,
) -> None:
    """Record the limit that an answer names, or that it names none.

    A limit that can't be read neither begins nor ends one.

    Parameters
    ----------
    limits : ServerLimits
        Limits of all servers.
    backends : BackendProtocol
        Reads the answer.
    server : str
        Name of the server that answered.
    response : ClientResponse
        Head of its answer.
    may_end : bool
        Whether an answer that names no limit ends one. A server may decline
        calls, and answer health checks, before it knows its own need.
    """
    try:
        rate = backends.read_limit(response)
    except UnreadableLimitError as unreadable:
        log.warning(
            'server-limit-unreadable', server=server, text=str(unreadable)
        )
        return
    if may_end or rate is not None:
        limits.record(server, rate)
