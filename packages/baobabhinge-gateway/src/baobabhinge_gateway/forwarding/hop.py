"""Protocol by which one gateway forwards calls to another.

A request holds a call as `envelope` encodes it; the answer tells of its run.
"""

from datetime import timedelta
from urllib.parse import unquote

from aiohttp import ClientResponse, web

from baobabhinge_gateway.access import ForwardedAccess
from baobabhinge_gateway.deployment import RequestLimits
from baobabhinge_gateway.forwarding.bodies import read_body
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.envelope import (
    decode_envelope,
    encode_envelope,
)
from baobabhinge_gateway.forwarding.exchange import OutboundRequest
from baobabhinge_gateway.forwarding.ingress_context import IngressContext
from baobabhinge_gateway.forwarding.memory_budget import MemoryUse
from baobabhinge_gateway.forwarding.protocols import AnswerVerdict

HOP_PATH = '/calls'
VERDICT_HEADER = 'Hop-Verdict'
ATTEMPT_HEADER = 'Hop-Attempt'
RUNS_HEADER = 'Hop-Runs'
SOFTWARE_HEADER = 'Hop-Software'
RETRY_AFTER_HEADER = 'Hop-Retry-After-Ms'
MAX_ENVELOPE_BYTES = 1 << 20
# The forwarding gateway may have a newer configuration with a higher limit.
LIMIT_MARGIN = 2
MILLISECOND = timedelta(milliseconds=1)


class HopProtocol:
    """Encoding of forwarded calls, and decoding of the verdicts on them."""

    __slots__ = ()

    def build_request(
        self, call: Call, address: str, left: timedelta
    ) -> OutboundRequest:
        """Return the request that forwards ``call`` to a gateway.

        Parameters
        ----------
        call : Call
            Call to forward.
        address : str
            ``host:port`` of the gateway.
        left : timedelta
            Time left until the deadline.
        """
        body = encode_envelope(call, left)
        return OutboundRequest('POST', address, HOP_PATH, (), body, left)

    def read_runs(self, call: Call, response: ClientResponse) -> int:
        """Return how many runs of ``call`` the other gateway may have begun.

        Without a readable count, `Call.attempts_left` is assumed.
        """
        count = response.headers.get(RUNS_HEADER, '')
        return int(count) if count.isdecimal() else call.attempts_left

    def read_software(self, response: ClientResponse) -> str:
        """Return the version of the software that began a stream.

        It is empty if the other gateway does not tell it.
        """
        return unquote(response.headers.get(SOFTWARE_HEADER, ''))

    def read_retry_after(self, response: ClientResponse) -> timedelta:
        """Return when a refused call may be sent again, 0 if it is not told."""
        milliseconds = response.headers.get(RETRY_AFTER_HEADER, '')
        if not milliseconds.isdecimal():
            return timedelta()
        return int(milliseconds) * MILLISECOND

    def classify_answer(
        self, call: Call, response: ClientResponse
    ) -> AnswerVerdict:
        """Return the verdict of the other gateway on the run of the call.

        Gateways of an older build do not name the attempt that they answer.
        """
        named = response.headers.get(ATTEMPT_HEADER)
        if named is not None and unquote(named) != call.head.attempt:
            return AnswerVerdict.foreign
        try:
            return AnswerVerdict(response.headers.get(VERDICT_HEADER, ''))
        except ValueError:
            return AnswerVerdict.unknown


async def receive_call(
    request: web.BaseRequest, context: IngressContext, memory: MemoryUse
) -> Call:
    """Return the call that another gateway forwards in a request.

    Raises
    ------
    BodyTooLargeError
        If the request is longer than a call may be.
    BodyMemoryError
        If this gateway has no memory for the request.
    MalformedCallError
        If the envelope can't be decoded.
    StoppingError
        If this gateway stops before the call could end.
    """
    # The time that is left counts from when the request was sent.
    caller = context.metrics.callers.find(request)
    arrival = context.clock.read_monotonic() - caller.waited
    body = await read_body(request, _compute_bound(context), memory)
    call = decode_envelope(body, arrival)
    call.memory = memory
    call.caller = caller
    call.confirm = ForwardedAccess(context.bounds.access).confirm
    context.bounds.stopping.check(call.route)
    return call


def _compute_bound(context: IngressContext) -> int:
    """Return the most bytes that a forwarded call may have."""
    revision = context.configuration.revision
    limits = revision.limits if revision else RequestLimits()
    return MAX_ENVELOPE_BYTES + LIMIT_MARGIN * limits.body_bytes
