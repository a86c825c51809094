"""Calls for model engines, drawn from distributions of their sizes."""

from collections.abc import Iterator, Sequence
from datetime import timedelta
from math import exp, log1p, sqrt
from random import Random

import msgspec

SECOND = timedelta(seconds=1)


class CallMix(msgspec.Struct, frozen=True):
    """Calls of one kind.

    Parameters
    ----------
    name : str
        Name of the kind.
    rate : float
        Calls per second.
    prompt, output : int
        Mean tokens to prefill and to generate.
    prompt_spread, output_spread : float
        Standard deviation divided by the mean, of lognormal distributions.
    max_prompt, max_output : int
        Upper bounds.
    objective : timedelta
        Target for the time to the first event.
    time_limit : timedelta
        Time after which an incomplete answer is of no use.
    priority : int
        0 for the most urgent calls.
    """

    name: str
    rate: float
    prompt: int
    prompt_spread: float
    max_prompt: int
    output: int
    output_spread: float
    max_output: int
    objective: timedelta
    time_limit: timedelta
    priority: int


class DrawnCall(msgspec.Struct, frozen=True):
    """One call.

    Parameters
    ----------
    arrival : timedelta
        Instant of its arrival.
    mix : CallMix
        Kind of the call.
    prompt, output : int
        Tokens to prefill and to generate.
    expected_output : int
        Estimate of the caller.
    """

    arrival: timedelta
    mix: CallMix
    prompt: int
    output: int
    expected_output: int


def draw_calls(
    mixes: Sequence[CallMix],
    length: timedelta,
    random: Random,
    hint_spread: float = 0.5,
) -> Sequence[DrawnCall]:
    """Return the calls of ``length``, in the order of their arrivals.

    Parameters
    ----------
    mixes : sequence of CallMix
        Kinds of calls.
    length : timedelta
        Time during which calls arrive.
    random : Random
        Generator of all draws.
    hint_spread : float, optional
        Spread of the callers' estimates of their outputs.
    """
    drawn = [
        call
        for mix in mixes
        for call in _draw_kind(mix, length, random, hint_spread)
    ]
    return sorted(drawn, key=lambda call: call.arrival)


def _draw_kind(
    mix: CallMix,
    length: timedelta,
    random: Random,
    hint_spread: float,
) -> Iterator[DrawnCall]:
    arrival = SECOND * random.expovariate(mix.rate)
    while arrival < length:
        prompt = draw_lognormal(mix.prompt, mix.prompt_spread, random)
        output = draw_lognormal(mix.output, mix.output_spread, random)
        tokens = max(1, min(mix.max_output, round(output)))
        yield DrawnCall(
            arrival,
            mix,
            min(mix.max_prompt, round(prompt)),
            tokens,
            round(tokens * exp(random.gauss(0, hint_spread))),
        )
        arrival += SECOND * random.expovariate(mix.rate)


def draw_lognormal(mean: float, spread: float, random: Random) -> float:
    """Return a lognormal draw.

    Parameters
    ----------
    mean : float
        Mean of the distribution.
    spread : float
        Standard deviation divided by the mean.
    random : Random
        Generator of the draw.
    """
    variance = log1p(spread * spread)
    exponent = random.gauss(-variance / 2, sqrt(variance))
    return mean * exp(exponent)
