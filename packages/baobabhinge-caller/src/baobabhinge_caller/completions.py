"""HTTP requests for completions."""

from http import HTTPMethod

import msgspec

from baobabhinge_caller.headers import list_headers
from baobabhinge_caller.outgoing_request import OutgoingRequest
from baobabhinge_caller.requests import Completion, Message

PROMPT_PATH = '/v1/completions'
CHAT_PATH = '/v1/chat/completions'


class _CompletionBody(msgspec.Struct, omit_defaults=True):
    model: str
    max_tokens: int
    prompt: str = ''
    messages: tuple[Message, ...] = ()
    stream: bool = False
    resume_from: int = 0


def build_stream_request(asked: Completion, received: int) -> OutgoingRequest:
    """Return the request to stream the tokens after the first ``received``."""
    body = _build_body(asked)
    body.stream = True
    body.resume_from = received
    return _build_completion(asked, body)


def build_complete_request(asked: Completion) -> OutgoingRequest:
    """Return the request for a completion that is not streamed."""
    return _build_completion(asked, _build_body(asked))


def _build_body(asked: Completion) -> _CompletionBody:
    return _CompletionBody(
        asked.model,
        asked.max_tokens,
        asked.prompt,
        asked.messages,
    )


def _build_completion(
    asked: Completion, body: _CompletionBody
) -> OutgoingRequest:
    headers = list_headers(asked.terms)
    headers['Baobabhinge-Service'] = asked.model
    headers['Content-Type'] = 'application/json'
    return OutgoingRequest(
        HTTPMethod.POST,
        CHAT_PATH if asked.messages else PROMPT_PATH,
        headers,
        msgspec.json.encode(body),
        is_repeatable=True,
    )
