"""What a caller received, and the text in it."""

import msgspec

DATA_PREFIX = b'data: '
EVENT_END = b'\n\n'
TERMINAL_EVENT = b'data: [DONE]\n\n'


class Reply(msgspec.Struct, frozen=True):
    """What a caller received.

    Parameters
    ----------
    status : int
        HTTP status; 0 if none arrived.
    body : bytes
        What arrived of the body.
    request_id : str
        Identifier that the answer gives.
    is_ended : bool
        Whether the body came to its end.
    """

    status: int = 0
    body: bytes = b''
    request_id: str = ''
    is_ended: bool = False


class _Text(msgspec.Struct):
    text: str = msgspec.field(name='content', default='')


class _Choice(msgspec.Struct):
    text: str = ''
    delta: _Text | None = None
    message: _Text | None = None

    def read(self) -> str:
        part = self.delta or self.message
        return part.text if part else self.text


class Completion(msgspec.Struct):
    """One event of a streamed answer, or a whole one.

    Parameters
    ----------
    id : str
        Request that it answers.
    choices : list of _Choice
        Its text.
    """

    id: str
    choices: list[_Choice]

    def read(self) -> str:
        """Return its text."""
        return ''.join(choice.read() for choice in self.choices)


class Echo(msgspec.Struct):
    """Answer of a plain service."""

    path: str
    echo: str


def read_completions(body: bytes, *, is_streamed: bool) -> list[Completion]:
    """Return the events of an answer; none if the last one is missing.

    Raises
    ------
    msgspec.MsgspecError
        If the answer is malformed.
    """
    if not is_streamed:
        return [msgspec.json.decode(body, type=Completion)]
    if not body.endswith(TERMINAL_EVENT):
        return []
    events = body.removesuffix(TERMINAL_EVENT).split(EVENT_END)
    return [
        msgspec.json.decode(event.removeprefix(DATA_PREFIX), type=Completion)
        for event in events
        if event
    ]
