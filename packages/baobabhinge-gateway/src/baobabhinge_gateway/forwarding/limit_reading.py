"""Reading of the limits that backend servers name on their answers."""

import structlog
from aiohttp import ClientResponse

from baobabhinge_gateway.forwarding.protocols import (
    AnswerVerdict,
    BackendProtocol,
)
from baobabhinge_gateway.forwarding.server_limits import (
    ServerLimits,
    UnreadableLimitError,
)

# Verdicts on answers of the server that ran the call.
RUN_VERDICTS = frozenset((AnswerVerdict.answered, AnswerVerdict.failed))

log = structlog.get_logger(__name__)


def record_limit(
    limits: ServerLimits,
    backends: BackendProtocol,
    server: str,
    response: ClientResponse,
    verdict: AnswerVerdict,
) -> None:
    """Record the limit that an answer names, or that it names none.

    An answer to a call that ran ends a limit if it names none. One that
    declines a call does not, as a server may decline calls before it knows its
    own need. A limit that can't be read neither begins nor ends one.

    Parameters
    ----------
    limits : ServerLimits
        Limits of all servers.
    backends : BackendProtocol
        Reads the answer.
    server : str
        Name of the server to which the call was sent.
    response : ClientResponse
        Head of its answer.
    verdict : AnswerVerdict
        What the head proves about the run of the call.
    """
    try:
        rate = backends.read_limit(response)
    except UnreadableLimitError as unreadable:
        log.warning(
            'server-limit-unreadable', server=server, text=str(unreadable)
        )
        return
    is_named = rate is not None and verdict is AnswerVerdict.declined
    if is_named or verdict in RUN_VERDICTS:
        limits.record(server, rate)
