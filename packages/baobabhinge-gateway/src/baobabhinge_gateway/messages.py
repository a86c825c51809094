"""Messages between gateways, sent as JSON in HTTP bodies."""

from typing import TypeVar

import msgspec
from aiohttp import web

from baobabhinge_gateway.errors import MalformedCallError

JSON = 'application/json'
MessageT = TypeVar('MessageT')


def decode_message(body: bytes, kind: type[MessageT], name: str) -> MessageT:
    """Decode a message of another gateway.

    Parameters
    ----------
    body : bytes
        Body of the request.
    kind : type
        Type of the message.
    name : str
        Name of the message in the error.

    Returns
    -------
    MessageT
        The decoded message.

    Raises
    ------
    MalformedCallError
        If ``body`` is not a message of type ``kind``.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise MalformedCallError(f'the {name} is malformed') from error


def render_message(message: object) -> web.Response:
    """Return a response with ``message`` as its JSON body."""
    return web.Response(body=msgspec.json.encode(message), content_type=JSON)
