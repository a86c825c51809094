"""Open-loop arrivals drawn from a seed."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_standins.experiment.prompts import draw_body
from baobabhinge_standins.experiment.workloads import Stream, Workload

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


def draw_arrivals(
    workload: Workload,
    seed: int,
    label: str = '',
) -> list[Arrival]:
    """Return the arrivals of a workload, in the order of their time.

    Parameters
    ----------
    workload : Workload
        What comes when.
    seed : int
        The same seed draws the same arrivals.
    label : str
        Begins each prompt, so that no cache holds prompts of another label.
    """
    random = Random(seed)
    arrivals = [
        _draw_arrival(random, stream, instant, label)
        for stream in workload.streams
        for instant in _draw_instants(random, stream)
    ]
    return sorted(arrivals, key=_get_instant)


def _draw_instants(random: Random, stream: Stream) -> Iterator[timedelta]:
    instant = stream.start + _draw_gap(random, stream)
    while instant < stream.end:
        yield instant
        instant += _draw_gap(random, stream)


def _draw_gap(random: Random, stream: Stream) -> timedelta:
    return SECOND * random.expovariate(stream.rate)


def _draw_arrival(
    random: Random,
    stream: Stream,
    instant: timedelta,
    label: str,
) -> Arrival:
    body = draw_body(random, stream, label)
    return Arrival(instant, stream, random.randrange(1 << 16), body)


def _get_instant(arrival: Arrival) -> timedelta:
    return arrival.instant
