"""Refusals of calls that no backend server can take now."""

from collections.abc import Sequence
from random import Random

import structlog

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_gateway.forwarding.limit_gate import LimitGate
from baobabhinge_gateway.forwarding.shedding import (
    NO_SERVER_RETRY_AFTER,
    compute_retry_after,
)

log = structlog.get_logger(__name__)


class ServersLimitedError(NotServedError):
    """The servers that could take the call name limits, which are used up."""

    code = 'servers-limited'


def build_refusal(
    call: Call,
    limited: Sequence[BackendServer],
    gate: LimitGate,
    random: Random,
) -> NotServedError:
    """Return the error with which a call is refused.

    Parameters
    ----------
    call : Call
        The call.
    limited : sequence of BackendServer
        Servers that could take it but for their limits.
    gate : LimitGate
        Tells when they take the next call.
    random : Random
        Generator that spreads the retries of callers.
    """
    if not limited:
        return NotServedError(
            f'no backend server of {call.service} takes calls now',
            NO_SERVER_RETRY_AFTER,
        )
    log.info(
        'call-held-back',
        attempt=call.head.attempt,
        servers=[server.name for server in limited],
    )
    pause = min(map(gate.compute_pause, limited))
    return ServersLimitedError(
        f'the backend servers of {call.service} take no more calls now',
        compute_retry_after(pause, random),
    )
