"""Prompts with shared beginnings, drawn from a seed."""

from random import Random

import msgspec

from baobabhinge_standins.experiment.workloads import TOKENS, Stream

SYSTEM_PROMPTS = 6
SYSTEM_SHARE = 0.8
ALPHABET = 'abcdefghijklmnopqrstuvwxyz '


def draw_body(random: Random, stream: Stream, label: str) -> bytes:
    """Return the body of one streamed chat.

    Parameters
    ----------
    random : Random
        Chooses the system prompt and draws the user's.
    stream : Stream
        Length of the prompts, and the workspace.
    label : str
        Begins the prompt.
    """
    system_chars = int(stream.prompt_chars * SYSTEM_SHARE)
    system = _draw_beginning(random, stream, label).ljust(system_chars, '.')
    rest = random.choices(ALPHABET, k=stream.prompt_chars - system_chars)
    return _render_body(system, ''.join(rest))


def _draw_beginning(random: Random, stream: Stream, label: str) -> str:
    number = random.randrange(SYSTEM_PROMPTS)
    return f'{label} {number} {stream.workspace} '


def _render_body(system: str, user: str) -> bytes:
    order = {
        'model': 'llm',
        'stream': True,
        'max_tokens': TOKENS,
        'messages': [
            {'role': 'system', 'content': system},
            {'role': 'user', 'content': user},
        ],
    }
    return msgspec.json.encode(order)
