"""Messages between gateways as bodies of HTTP."""

from typing import TypeVar

import msgspec
from aiohttp import web

from baobabhinge_gateway.errors import MalformedCallError

JSON = 'application/json'
MessageT = TypeVar('MessageT')


def decode_message(body: bytes, kind: type[MessageT], name: str) -> MessageT:
    """Read a message of another gateway.

    Parameters
    ----------
    body : bytes
        What was received.
    kind : type
        Type of the message.
    name : str
        What the error calls it.

    Returns
    -------
    MessageT
        The message.

    Raises
    ------
    MalformedCallError
        If it can't be read.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as bad:
        raise MalformedCallError(f'the {name} is malformed') from bad


def render_message(message: object) -> web.Response:
    """Return the answer that carries ``message``."""
    return web.Response(body=msgspec.json.encode(message), content_type=JSON)
