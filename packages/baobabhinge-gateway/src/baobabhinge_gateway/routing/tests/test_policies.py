from datetime import timedelta

import pytest

from baobabhinge_gateway.routing.observations import ExchangeSample
from baobabhinge_gateway.routing.registry import UnknownPolicyError
from baobabhinge_gateway.routing.tests.builders import (
    PolicyHarness,
    StubLoadReport,
    make_call,
    make_target,
)

FULL = StubLoadReport(running=4, waiting=12)
LATE = StubLoadReport(running=4, waiting=9)
IDLE = StubLoadReport(running=0, waiting=0)
HOME = [make_target('w1'), make_target('w2')]
AWAY = [make_target('e1', region='east')]


@pytest.mark.parametrize(
    ('reports', 'first'),
    [
        ({}, 'w'),
        ({'w1': FULL}, 'w2'),
        ({'w2': FULL}, 'w1'),
        ({'w1': FULL, 'w2': FULL}, 'e1'),
        ({'w1': FULL, 'w2': StubLoadReport(running=4, waiting=0)}, 'w2'),
        ({'w1': LATE, 'w2': LATE}, 'e1'),
    ],
)
def test_home_comes_first_unless_it_is_late(reports, first):
    world = PolicyHarness()
    world.loads.reports = reports
    ranked = world.rank(make_call(), HOME + AWAY)
    assert ranked[0].startswith(first)
    assert set(ranked) == {'w1', 'w2', 'e1'}


def test_home_wins_again_once_it_is_in_time():
    world = PolicyHarness()
    world.loads.reports = {'w1': FULL, 'w2': FULL}
    assert world.rank(make_call(), HOME + AWAY)[0] == 'e1'
    world.loads.reports = {'w1': IDLE, 'w2': IDLE}
    assert world.rank(make_call(), HOME + AWAY)[0] != 'e1'


def test_slow_region_is_not_chosen():
    world = PolicyHarness()
    world.loads.reports = {'w1': FULL, 'w2': FULL}
    slow = timedelta(seconds=9)
    world.tracker.observations.add(ExchangeSample('east', slow, slow))
    assert world.rank(make_call(), HOME + AWAY)[0] != 'e1'


@pytest.mark.parametrize(
    ('failures', 'is_offered'),
    [(0, True), (2, True), (3, False)],
)
def test_failing_server_rests(failures, is_offered):
    world = PolicyHarness()
    for _ in range(failures):
        world.tracker.circuit_breakers.record_failure('w1')
    assert ('w1' in world.rank(make_call(), HOME)) is is_offered


def test_rested_server_gets_one_probe_and_returns_slowly():
    world = PolicyHarness()
    circuit_breakers = world.tracker.circuit_breakers
    for _ in range(3):
        circuit_breakers.record_failure('w1')
    world.clock.advance(timedelta(seconds=1))
    assert circuit_breakers.allows('w1', 0)
    assert not circuit_breakers.allows('w1', 1)
    circuit_breakers.record_success('w1')
    assert not circuit_breakers.allows('w1', 1)
    world.clock.advance(timedelta(seconds=5))
    assert circuit_breakers.allows('w1', 100)


def test_empty_link_budget_keeps_calls_at_home():
    world = PolicyHarness(link_bytes=1000)
    world.loads.reports = {'w1': FULL, 'w2': FULL}
    world.tracker.links.spend('east', 1000)
    assert 'e1' not in world.rank(make_call(body_size=100), HOME + AWAY)
    world.clock.advance(timedelta(seconds=1))
    assert 'e1' in world.rank(make_call(body_size=100), HOME + AWAY)


def test_same_prefix_stays_at_one_server_while_it_has_room():
    world = PolicyHarness()
    homes = [make_target(f'w{number}') for number in range(8)]
    winners = {world.rank(make_call('prefix'), homes)[0] for _ in range(16)}
    assert len(winners) == 1
    spread = {
        world.rank(make_call(f'other {number}'), homes)[0]
        for number in range(64)
    }
    assert len(spread) > 4
    busy = [
        make_target(target.vm.name, 4 if target.vm.name in winners else 0)
        for target in homes
    ]
    assert world.rank(make_call('prefix'), busy)[0] not in winners


def test_prompts_leave_a_server_that_has_become_slow():
    world = PolicyHarness()
    late = timedelta(milliseconds=600)
    world.tracker.observations.add(ExchangeSample('w1', late, late))
    ranked = [world.rank(make_call(f'{n}'), HOME) for n in range(16)]
    assert {names[0] for names in ranked} == {'w2'}


def test_prompts_go_to_a_server_with_the_fewest_calls():
    world = PolicyHarness()
    homes = [make_target('w1', 2), make_target('w2', 2), make_target('w3', 1)]
    ranked = [world.rank(make_call(f'{n}'), homes) for n in range(16)]
    assert {names[0] for names in ranked} == {'w3'}


@pytest.mark.parametrize(
    ('policy', 'targets', 'winners'),
    [
        ('round-robin', HOME + AWAY, ['w1', 'w2', 'e1', 'w1']),
        ('round-robin', [], ['', '']),
        ('home-only', [make_target('w1', 3), *AWAY], ['w1', 'w1']),
        ('least-in-flight', [make_target('w1', 3), *AWAY], ['e1', 'e1']),
    ],
)
def test_baselines(policy, targets, winners):
    world = PolicyHarness(policy)
    ranked = [world.rank(make_call(), targets) for _ in winners]
    assert [''.join(names[:1]) for names in ranked] == winners


def test_unknown_policy_lists_the_known_ones():
    with pytest.raises(UnknownPolicyError, match='home-only'):
        PolicyHarness('no-such-policy')
