"""Refusals of calls that no backend server can take now."""

from collections.abc import Sequence
from random import Random

import msgspec
import structlog

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_gateway.forwarding.send_gate import SendGate
from baobabhinge_gateway.forwarding.shedding import (
    NO_SERVER_RETRY_AFTER,
    compute_retry_after,
    compute_return_after,
)

log = structlog.get_logger(__name__)


class ServersLimitedError(NotServedError):
    """The servers that could take the call name limits, which are used up."""

    code = 'servers-limited'


class ServersPausedError(NotServedError):
    """The servers that could take the call want none for a while."""

    code = 'servers-paused'


class RestrictedServers(msgspec.Struct, frozen=True):
    """Servers that could take a call, but for what they ask.

    Parameters
    ----------
    limited : sequence of BackendServer
        Servers with limits.
    paused : sequence of BackendServer
        Servers that want no calls for a while, or return from that.
    """

    limited: Sequence[BackendServer] = ()
    paused: Sequence[BackendServer] = ()


def build_refusal(
    call: Call,
    servers: RestrictedServers,
    gate: SendGate,
    random: Random,
) -> NotServedError:
    """Return the error with which a call is refused.

    Parameters
    ----------
    call : Call
        The call.
    servers : RestrictedServers
        Servers that could take it later.
    gate : SendGate
        Tells when they take the next call.
    random : Random
        Generator that spreads the retries of callers.
    """
    if servers.limited:
        _log_refusal(call, servers.limited)
        return _refuse_limited(call, servers.limited, gate, random)
    if servers.paused:
        _log_refusal(call, servers.paused)
        left = min(map(gate.pauses.compute_left, servers.paused))
        return ServersPausedError(
            f'the backend servers of {call.service} want no calls now',
            compute_return_after(left, random),
        )
    return NotServedError(
        f'no backend server of {call.service} takes calls now',
        NO_SERVER_RETRY_AFTER,
    )


def _log_refusal(call: Call, servers: Sequence[BackendServer]) -> None:
    log.info(
        'call-held-back',
        attempt=call.head.attempt,
        servers=[server.name for server in servers],
    )


def _refuse_limited(
    call: Call,
    limited: Sequence[BackendServer],
    gate: SendGate,
    random: Random,
) -> ServersLimitedError:
    pause = min(map(gate.compute_pause, limited))
    return ServersLimitedError(
        f'the backend servers of {call.service} take no more calls now',
        compute_retry_after(pause, random),
    )
