"""Resumption of a completion at the first token not yet delivered."""

import msgspec

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.calls.json_fields import replace_field

RESUME_FIELD = 'resume_from'


class _Resumable(msgspec.Struct):
    resume_from: int = 0


def resume_call(call: Call, tokens: int) -> Call:
    """Return ``call`` with its resume position advanced by ``tokens``.

    Parameters
    ----------
    call : Call
        Completion whose body is a JSON object.
    tokens : int
        Tokens delivered to the caller so far; 0 returns ``call`` itself.
    """
    if not tokens:
        return call
    start = _read_start(call.body) + tokens
    body = replace_field(call.body, RESUME_FIELD, b'%d' % start)
    return msgspec.structs.replace(call, body=body)


def _read_start(body: bytes) -> int:
    return msgspec.json.decode(body, type=_Resumable).resume_from
