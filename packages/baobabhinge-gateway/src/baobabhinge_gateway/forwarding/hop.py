"""Calls that one gateway forwards to another."""

from datetime import timedelta

import aiohttp
import msgspec

from baobabhinge_gateway.deployment import Route
from baobabhinge_gateway.forwarding.call import Call, CallHead
from baobabhinge_gateway.forwarding.exchange import OutboundRequest
from baobabhinge_gateway.forwarding.problems import (
    MalformedCallError,
)
from baobabhinge_gateway.forwarding.protocols import AnswerVerdict

HOP_PATH = '/calls'
VERDICT_HEADER = 'Hop-Verdict'
RUNS_HEADER = 'Hop-Runs'
LENGTH_BYTES = 4
MICROSECOND = timedelta(microseconds=1)


class Envelope(msgspec.Struct, array_like=True):
    """A call without its body, as it crosses.

    Parameters
    ----------
    left : int
        Time that is left, in microseconds.
    """

    head: CallHead
    route: Route
    service: str
    left: int
    attempts_left: int
    last_event: str | None


class HopProtocol:
    """Send calls to other gateways and read their verdicts."""

    __slots__ = ()

    def build_request(
        self, call: Call, address: str, left: timedelta
    ) -> OutboundRequest:
        """Return the request by which ``call`` is forwarded."""
        envelope = msgspec.msgpack.encode(
            Envelope(
                call.head,
                call.route,
                call.service,
                left // MICROSECOND,
                call.attempts_left - call.runs,
                call.last_event,
            ),
        )
        length = len(envelope).to_bytes(LENGTH_BYTES, 'big')
        body = b''.join((length, envelope, call.body))
        return OutboundRequest('POST', address, HOP_PATH, (), body, left)

    def read_runs(self, call: Call, response: aiohttp.ClientResponse) -> int:
        """Return how many backend servers may have begun to run ``call``."""
        told = response.headers.get(RUNS_HEADER, '')
        return int(told) if told.isdecimal() else call.attempts_left

    def classify_answer(
        self, response: aiohttp.ClientResponse
    ) -> AnswerVerdict:
        """Return what the other gateway says of the run of the call."""
        try:
            return AnswerVerdict(response.headers.get(VERDICT_HEADER, ''))
        except ValueError:
            return AnswerVerdict.unknown


def decode_envelope(body: bytes, now: timedelta) -> Call:
    """Return the call that a request of another gateway carries.

    Parameters
    ----------
    body : bytes
        Body of the request.
    now : timedelta
        Monotonic time of the arrival.

    Raises
    ------
    MalformedCallError
        If it can't be read.
    """
    end = LENGTH_BYTES + int.from_bytes(body[:LENGTH_BYTES], 'big')
    try:
        envelope = msgspec.msgpack.decode(body[LENGTH_BYTES:end], type=Envelope)
    except msgspec.MsgspecError as unreadable:
        raise MalformedCallError('unreadable envelope') from unreadable
    return Call(
        head=envelope.head,
        body=body[end:],
        route=envelope.route,
        service=envelope.service,
        arrival=now,
        deadline=now + envelope.left * MICROSECOND,
        attempts_left=envelope.attempts_left,
        is_from_gateway=True,
        last_event=envelope.last_event,
    )
