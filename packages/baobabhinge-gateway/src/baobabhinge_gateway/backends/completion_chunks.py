"""Chunks of a streamed completion: the fields that the gateway reads.

References
----------
OpenAI completions protocol: streamed ``/v1/completions`` and
``/v1/chat/completions``.
"""

import msgspec

from baobabhinge_gateway.errors import AnswerBrokenError


class MessageDelta(msgspec.Struct):
    """Text that a chunk appends to a chat message."""

    text: str | None = msgspec.field(default=None, name='content')


class CompletionChoice(msgspec.Struct):
    """One of the alternative completions in a chunk."""

    text: str | None = None
    delta: MessageDelta = msgspec.field(default_factory=MessageDelta)


class CompletionChunk(msgspec.Struct):
    """Chunk of a completion, which names its request in ``id``."""

    id: str
    choices: list[CompletionChoice] = []

    @property
    def has_text(self) -> bool:
        """Return whether the chunk contains text of a token."""
        return any(choice.text or choice.delta.text for choice in self.choices)


def decode_completion_chunk(body: bytes) -> CompletionChunk:
    """Return the chunk encoded in ``body``.

    Raises
    ------
    AnswerBrokenError
        If it is not JSON of that form.
    """
    try:
        return msgspec.json.decode(body, type=CompletionChunk)
    except msgspec.MsgspecError as bad:
        raise AnswerBrokenError('an event of the answer is malformed') from bad
