"""Encoding of a call for another gateway.

It is the length of an envelope, the envelope, and the body of the call.
"""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.bounds import Count
from baobabhinge_gateway.deployment import Route, Workspace
from baobabhinge_gateway.forwarding.call import Call, CallHead
from baobabhinge_gateway.forwarding.problems import MalformedCallError
from baobabhinge_gateway.forwarding.stream_origins import StreamOrigin

LENGTH_BYTES = 4
MICROSECOND = timedelta(microseconds=1)


class Envelope(msgspec.Struct, array_like=True):
    """Call without its body, as it is sent to another gateway.

    Parameters
    ----------
    left : int
        Time left until the deadline, in microseconds.
    workspace : Workspace or None
        Workspace of the caller, without its keys.
    """

    head: CallHead
    route: Route
    service: str
    left: Count
    attempts_left: Count
    last_event: str | None
    origin: StreamOrigin | None = None
    workspace: Workspace | None = None


def encode_envelope(call: Call, left: timedelta) -> bytes:
    """Return a call as it is sent to another gateway.

    Parameters
    ----------
    call : Call
        The call.
    left : timedelta
        Time left until the deadline.
    """
    envelope = msgspec.msgpack.encode(
        Envelope(
            call.head,
            call.route,
            call.service,
            left // MICROSECOND,
            call.attempts_left - call.runs,
            call.last_event,
            call.origin,
            call.workspace and call.workspace.without_keys(),
        ),
    )
    length = len(envelope).to_bytes(LENGTH_BYTES, 'big')
    return b''.join((length, envelope, call.body))


def decode_envelope(body: bytes, now: timedelta) -> Call:
    """Return the call that another gateway forwards in a request.

    Parameters
    ----------
    body : bytes
        Body of the request.
    now : timedelta
        Monotonic time at which the request arrived.

    Raises
    ------
    MalformedCallError
        If the envelope can't be decoded.
    """
    end = LENGTH_BYTES + int.from_bytes(body[:LENGTH_BYTES], 'big')
    try:
        envelope = msgspec.msgpack.decode(body[LENGTH_BYTES:end], type=Envelope)
    except msgspec.MsgspecError as unreadable:
        raise MalformedCallError(
            'the envelope of the forwarded call is unreadable'
        ) from unreadable
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
        origin=envelope.origin,
        workspace=envelope.workspace,
    )
