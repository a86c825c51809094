"""Decoding of the completions that gateways send.

References
----------
OpenAI completions protocol: ``/v1/completions`` and ``/v1/chat/completions``.
"""

import msgspec

from baobabhinge_caller.errors import OutcomeUnknownError, WrongAnswerError
from baobabhinge_caller.messages import UNKNOWN, Problem


class Token(msgspec.Struct, frozen=True):
    """Text of a completion.

    Parameters
    ----------
    text : str
        One token of a stream, or the complete text.
    request_id : str
        Identifier of the request, to quote to the operators.
    """

    text: str
    request_id: str


class _ChoiceMessage(msgspec.Struct):
    text: str | None = msgspec.field(name='content', default=None)


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _ChoiceMessage | None = None
    message: _ChoiceMessage | None = None

    def extract_text(self) -> str:
        holder = self.delta or self.message or self
        return holder.text or ''


class _Chunk(msgspec.Struct):
    id: str
    choices: list[_Choice]


def read_token(body: bytes, request_id: str) -> Token:
    """Decode the token in ``body``.

    Raises
    ------
    WrongAnswerError
        If its identifier is not ``request_id``.
    OutcomeUnknownError
        If it can't be decoded.
    """
    chunk = _decode(body)
    if chunk.id != request_id:
        raise WrongAnswerError(
            Problem(
                'wrong-answer', UNKNOWN, 'the answer belongs to another request'
            ),
        )
    text = ''.join(choice.extract_text() for choice in chunk.choices)
    return Token(text, request_id)


def _decode(body: bytes) -> _Chunk:
    try:
        return msgspec.json.decode(body, type=_Chunk)
    except msgspec.MsgspecError as error:
        raise OutcomeUnknownError(
            Problem('answer-broken', UNKNOWN, 'the answer is malformed'),
        ) from error
