"""Engines that long answers share, and that prompts avoid."""

from datetime import timedelta
from random import Random

import pytest

from baobabhinge_gateway.deployment import BackendServer, Engine
from baobabhinge_gateway.forwarding.call import Demand
from baobabhinge_gateway.forwarding.engine_sharing import MAX_SHARED_CALLS
from baobabhinge_gateway.forwarding.engine_timing import is_long_answer
from baobabhinge_gateway.forwarding.estimates import estimate_engine
from baobabhinge_gateway.forwarding.rankings import rank_soonest
from baobabhinge_gateway.forwarding.server_load import (
    NO_LOAD,
    build_prompt_load,
)

SECOND = timedelta(seconds=1)
ENGINE = Engine(slots=64, memory=400_000)
NAMES = tuple(f'engine-{number}' for number in range(8))
LONG_ANSWER = build_prompt_load(700, 1100, 1, is_long=True)
LONG_PROMPT = build_prompt_load(9000, 9200, 2)


def choose(added, loads, seed, names=NAMES):
    estimates = [
        estimate_engine(
            ENGINE,
            BackendServer(name, 'model', f'{name}:1', 'west-a', slots=64),
            loads.get(name, NO_LOAD),
            added,
            1,
        )
        for name in names
    ]
    return rank_soonest(estimates, Random(seed))[0].server.name


def add_calls(load, count):
    """Return the sum of ``count`` calls whose prompts have been prefilled."""
    call = build_prompt_load(0, 1100, 1, is_long=load is LONG_ANSWER)
    total = NO_LOAD
    for _ in range(count):
        total = total.add(call)
    return total


@pytest.mark.parametrize(
    ('output', 'prompt', 'seconds', 'is_long'),
    [
        (952, 800, 12, True),
        (88, 2400, 3, False),
        (1120, 12_000, 15, False),
        (400, 800, 12, False),
    ],
)
def test_answers_that_may_end_too_late_on_a_saturated_engine_are_long(
    output, prompt, seconds, is_long
):
    assert is_long_answer(Demand(prompt, output), seconds * SECOND) is is_long


def test_all_gateways_send_long_answers_to_the_same_engine_until_it_is_full():
    """Spread evenly, they would meet prompts on every engine."""
    firsts = {choose(LONG_ANSWER, {}, seed) for seed in range(20)}
    assert len(firsts) == 1
    first = firsts.pop()
    loads = {first: add_calls(LONG_ANSWER, MAX_SHARED_CALLS - 1)}
    assert choose(LONG_ANSWER, loads, 1) == first
    loads = {first: add_calls(LONG_ANSWER, MAX_SHARED_CALLS)}
    assert choose(LONG_ANSWER, loads, 1) != first


def test_a_region_with_few_engines_shares_none():
    """One of three engines would be too much to keep prompts away from."""
    few = NAMES[:3]
    chosen = {choose(LONG_ANSWER, {}, seed, few) for seed in range(20)}
    assert chosen == set(few)
    loads = {few[0]: add_calls(LONG_ANSWER, 1)}
    chosen = {choose(LONG_PROMPT, loads, seed, few) for seed in range(20)}
    assert few[0] in chosen


def test_a_long_answer_avoids_an_engine_that_has_many_prompts_to_prefill():
    first = choose(LONG_ANSWER, {}, 1)
    waiting = build_prompt_load(30_000, 30_000, 2)
    assert choose(LONG_ANSWER, {first: waiting}, 1) != first


@pytest.mark.parametrize(
    ('waiting', 'is_avoided'), [(0, True), (20_000, True), (200_000, False)]
)
def test_a_long_prompt_avoids_long_answers_while_other_engines_have_room(
    waiting, is_avoided
):
    shared = choose(LONG_ANSWER, {}, 1)
    loads = {name: build_prompt_load(waiting, 9000, 1) for name in NAMES}
    loads[shared] = add_calls(LONG_ANSWER, 20)
    chosen = {choose(LONG_PROMPT, loads, seed) for seed in range(20)}
    assert (shared not in chosen) is is_avoided
