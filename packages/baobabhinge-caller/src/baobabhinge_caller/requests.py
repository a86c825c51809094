"""Calls as a program states them."""

from datetime import timedelta
from http import HTTPMethod

import msgspec


class Terms(msgspec.Struct, frozen=True):
    """What a caller asks for beside the answer.

    Parameters
    ----------
    deadline : timedelta, optional
        Longest time that the gateways may take.
    regions : tuple of str
        Regions that the call may not leave; empty for all.
    workspace : str
        Workspace on whose account the call runs.
    """

    deadline: timedelta | None = None
    regions: tuple[str, ...] = ()
    workspace: str = ''


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    text: str = msgspec.field(name='content')


class Completion(msgspec.Struct, frozen=True):
    """A completion, which may be repeated.

    Parameters
    ----------
    model : str
        ``service[:adapter][@version]``.
    prompt : str
        The prompt; empty for a chat.
    max_tokens : int
        Longest answer, in tokens.
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
    """A call to a plain service.

    Parameters
    ----------
    service : str
        Name of the service.
    path : str
        Path at the service, with its query.
    method : HTTPMethod
        HTTP method.
    body : bytes
        Whole body.
    is_repeatable : bool
        Whether running it twice is harmless.
    terms : Terms
        Deadline, regions and workspace.
    """

    service: str
    path: str
    method: HTTPMethod = HTTPMethod.GET
    body: bytes = b''
    is_repeatable: bool = False
    terms: Terms = Terms()
