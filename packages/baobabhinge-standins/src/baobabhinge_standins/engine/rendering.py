"""Answers of the completions protocol."""

import msgspec

from baobabhinge_standins.engine.messages import EngineRequest

TERMINAL_EVENT = b'data: [DONE]\n\n'


def render_whole(request_id: str, order: EngineRequest, text: str) -> bytes:
    """Return the body of an answer that is not streamed."""
    return msgspec.json.encode(
        {
            'id': request_id,
            'model': order.model,
            'choices': [_render_choice(order, text)],
            'usage': {
                'completion_tokens': order.max_tokens - order.resume_from,
            },
        },
    )


def render_event(request_id: str, order: EngineRequest, token: str) -> bytes:
    """Return the event that carries one token."""
    chunk = {
        'id': request_id,
        'model': order.model,
        'choices': [_render_choice(order, token)],
    }
    return b'data: %b\n\n' % msgspec.json.encode(chunk)


def _render_choice(order: EngineRequest, text: str) -> dict[str, object]:
    if not order.messages:
        return {'index': 0, 'text': text}
    kind = 'delta' if order.stream else 'message'
    return {'index': 0, kind: {'role': 'assistant', 'content': text}}
