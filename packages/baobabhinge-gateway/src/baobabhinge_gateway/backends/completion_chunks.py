"""Chunks of a streamed completion, as far as the gateway reads them.

References
----------
OpenAI completions protocol: streamed ``/v1/completions`` and
``/v1/chat/completions``.
"""

import msgspec

from baobabhinge_gateway.errors import AnswerBrokenError


class MessageDelta(msgspec.Struct):
    """The growth of a chat message."""

    text: str | None = msgspec.field(default=None, name='content')


class CompletionChoice(msgspec.Struct):
    """One of the alternatives that a chunk carries."""

    text: str | None = None
    delta: MessageDelta = msgspec.field(default_factory=MessageDelta)


class CompletionChunk(msgspec.Struct):
    """One chunk; its identifier names the request."""

    id: str
    choices: list[CompletionChoice] = []

    @property
    def has_text(self) -> bool:
        """Tell whether the chunk carries a token."""
        return any(choice.text or choice.delta.text for choice in self.choices)


def decode_completion_chunk(body: bytes) -> CompletionChunk:
    """Return the chunk in ``body``.

    Raises
    ------
    AnswerBrokenError
        If it can't be read.
    """
    try:
        return msgspec.json.decode(body, type=CompletionChunk)
    except msgspec.MsgspecError as bad:
        raise AnswerBrokenError('an event of the answer is malformed') from bad
