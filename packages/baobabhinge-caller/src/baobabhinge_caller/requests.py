"""Calls that a program can make."""

from datetime import timedelta
from http import HTTPMethod

import msgspec


class Terms(msgspec.Struct, frozen=True):
    """Conditions under which a call is to be served.

    Parameters
    ----------
    deadline : timedelta, optional
        Bound on the time that the gateways may take.
    regions : tuple of str
        Regions in which the call has to stay; empty for all.
    workspace : str
        Workspace to which the call is attributed.
    """

    deadline: timedelta | None = None
    regions: tuple[str, ...] = ()
    workspace: str = ''


class Message(msgspec.Struct, frozen=True):
    """Message of a chat."""

    role: str
    text: str = msgspec.field(name='content')


class Completion(msgspec.Struct, frozen=True):
    """Request for a completion; it is repeatable.

    Parameters
    ----------
    model : str
        ``service[:adapter][@version]``.
    prompt : str
        Prompt; empty for a chat.
    max_tokens : int
        Bound on the length of the answer, in tokens.
    terms : Terms
        Deadline, regions and workspace.
    messages : tuple of Message
        Messages of a chat; empty for a prompt.
    """

    model: str
    prompt: str = ''
    max_tokens: int = 256
    terms: Terms = Terms()
    messages: tuple[Message, ...] = ()


class ServiceCall(msgspec.Struct, frozen=True):
    """Call to a plain service.

    Parameters
    ----------
    service : str
        Name of the service.
    path : str
        Path at the service, with its query.
    method : HTTPMethod
        HTTP method.
    body : bytes
        Complete body.
    is_repeatable : bool
        Whether running it twice is harmless (idempotent).
    terms : Terms
        Deadline, regions and workspace.
    """

    service: str
    path: str
    method: HTTPMethod = HTTPMethod.GET
    body: bytes = b''
    is_repeatable: bool = False
    terms: Terms = Terms()
