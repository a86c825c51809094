"""Open-loop arrivals drawn from a seed."""

from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_standins.experiment.workloads import TOKENS, Stream, Workload

SYSTEM_PROMPTS = 6
SYSTEM_SHARE = 0.8
ALPHABET = 'abcdefghijklmnopqrstuvwxyz '
SECOND = timedelta(seconds=1)


class Arrival(msgspec.Struct, frozen=True):
    """One request.

    Parameters
    ----------
    instant : timedelta
        Intended start, from the start of the workload.
    stream : Stream
        Where it comes from.
    gateway : int
        Number that chooses the gateway.
    body : bytes
        Body of the request.
    """

    instant: timedelta
    stream: Stream
    gateway: int
    body: bytes


def draw_arrivals(workload: Workload, seed: int) -> list[Arrival]:
    """Return the arrivals of a workload, in the order of their time.

    Parameters
    ----------
    workload : Workload
        What comes when.
    seed : int
        The same seed draws the same arrivals.
    """
    random = Random(seed)
    arrivals = []
    for stream in workload.streams:
        instant = stream.start + _draw_gap(random, stream)
        while instant < stream.end:
            arrivals.append(_draw_arrival(random, stream, instant))
            instant += _draw_gap(random, stream)
    return sorted(arrivals, key=_get_instant)


def _draw_gap(random: Random, stream: Stream) -> timedelta:
    return SECOND * random.expovariate(stream.rate)


def _draw_arrival(
    random: Random,
    stream: Stream,
    instant: timedelta,
) -> Arrival:
    system_chars = int(stream.prompt_chars * SYSTEM_SHARE)
    number = random.randrange(SYSTEM_PROMPTS)
    system = f'{number} {stream.workspace} '.ljust(system_chars, '.')
    rest = random.choices(ALPHABET, k=stream.prompt_chars - system_chars)
    body = _render_body(system, ''.join(rest))
    return Arrival(instant, stream, random.randrange(1 << 16), body)


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


def _get_instant(arrival: Arrival) -> timedelta:
    return arrival.instant
