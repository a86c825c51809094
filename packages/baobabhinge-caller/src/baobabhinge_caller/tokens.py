"""Completions as gateways send them.

References
----------
OpenAI completions protocol: ``/v1/completions`` and ``/v1/chat/completions``.
"""

import msgspec

from baobabhinge_caller.errors import OutcomeUnknownError, WrongAnswerError
from baobabhinge_caller.messages import UNKNOWN, Problem


class Token(msgspec.Struct, frozen=True):
    """Text of an answer.

    Parameters
    ----------
    text : str
        One token of a stream, or the whole text.
    request_id : str
        Identifier to name when you ask the operators.
    """

    text: str
    request_id: str


class _ChoiceMessage(msgspec.Struct):
    text: str | None = msgspec.field(name='content', default=None)


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _ChoiceMessage | None = None
    message: _ChoiceMessage | None = None

    def read(self) -> str:
        part = self.delta or self.message or self
        return part.text or ''


class _Chunk(msgspec.Struct):
    id: str
    choices: list[_Choice]


def read_token(body: bytes, request_id: str) -> Token:
    """Return the text in ``body``.

    Raises
    ------
    WrongAnswerError
        If it names another request than ``request_id``.
    OutcomeUnknownError
        If it can't be read.
    """
    chunk = _decode(body)
    if chunk.id != request_id:
        raise WrongAnswerError(
            Problem('wrong-answer', UNKNOWN, 'an answer to another request'),
        )
    text = ''.join(choice.read() for choice in chunk.choices)
    return Token(text, request_id)


def _decode(body: bytes) -> _Chunk:
    try:
        return msgspec.json.decode(body, type=_Chunk)
    except msgspec.MsgspecError as bad:
        raise OutcomeUnknownError(
            Problem('answer-broken', UNKNOWN, 'a malformed answer'),
        ) from bad
