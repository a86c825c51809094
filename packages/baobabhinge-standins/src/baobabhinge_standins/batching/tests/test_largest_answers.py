"""Calls of unequal sizes on engines whose prefill is almost saturated."""

from datetime import timedelta
from random import Random

import pytest

from baobabhinge_standins.batching.simulation import Simulation
from baobabhinge_standins.batching.workload import CallMix, draw_calls

SECOND = timedelta(seconds=1)
SPEEDS = (1, 1, 1.3, 1, 1, 1.3)
GATEWAYS = 8
LENGTH = 20 * SECOND
LONG_PROMPTS = CallMix(
    name='long-prompt',
    rate=22.5,
    prompt=9000,
    prompt_spread=1.2,
    max_prompt=60_000,
    output=384,
    output_spread=0.44,
    max_output=1120,
    objective=1.2 * SECOND,
    time_limit=15 * SECOND,
    priority=2,
)
LONG_ANSWERS = CallMix(
    name='long-answer',
    rate=22.5,
    prompt=700,
    prompt_spread=1,
    max_prompt=3310,
    output=291,
    output_spread=0.69,
    max_output=952,
    objective=0.8 * SECOND,
    time_limit=12 * SECOND,
    priority=1,
)
SHORT_CALLS = CallMix(
    name='short',
    rate=30,
    prompt=2000,
    prompt_spread=1.2,
    max_prompt=6870,
    output=23,
    output_spread=1,
    max_output=88,
    objective=0.8 * SECOND,
    time_limit=3 * SECOND,
    priority=0,
)
MIXES = (LONG_PROMPTS, LONG_ANSWERS, SHORT_CALLS)


def measure_size(served):
    return served.drawn.prompt + 10 * served.drawn.output


def compute_served_share(calls):
    return sum(call.is_served for call in calls) / len(calls)


def select_by_size(served, mix, smallest, largest):
    """Return the calls of a kind between two fractions of the sizes."""
    kind = [call for call in served if call.drawn.mix is mix]
    kind.sort(key=measure_size)
    start, end = int(smallest * len(kind)), int(largest * len(kind))
    return kind[start:end]


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('bounds', [(0.9, 1), (0.7, 0.9)])
def test_the_largest_calls_are_served_at_least_half_as_often_as_their_kind(
    seed, bounds
):
    """Engines that always prefill generate long answers past the deadline."""
    random = Random(seed)
    simulation = Simulation(SPEEDS, MIXES, GATEWAYS, random)
    served = simulation.play(draw_calls(MIXES, LENGTH, random))
    for mix in MIXES:
        whole = compute_served_share(select_by_size(served, mix, 0, 1))
        largest = compute_served_share(select_by_size(served, mix, *bounds))
        assert largest >= whole / 2, mix.name
