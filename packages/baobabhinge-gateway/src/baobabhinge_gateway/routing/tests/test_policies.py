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
LOCAL = [make_target('w1'), make_target('w2')]
REMOTE = [make_target('e1', region='east')]


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
def test_local_region_comes_first_unless_it_is_late(reports, first):
    """Only long queues at all local servers put the remote region first."""
    harness = PolicyHarness()
    harness.loads.reports = reports
    ranked = harness.rank(make_call(), LOCAL + REMOTE)
    assert ranked[0].startswith(first)
    assert set(ranked) == {'w1', 'w2', 'e1'}


def test_local_region_comes_first_again_once_it_is_idle():
    """Calls must not stay in the remote region after the queues are gone."""
    harness = PolicyHarness()
    harness.loads.reports = {'w1': FULL, 'w2': FULL}
    assert harness.rank(make_call(), LOCAL + REMOTE)[0] == 'e1'
    harness.loads.reports = {'w1': IDLE, 'w2': IDLE}
    assert harness.rank(make_call(), LOCAL + REMOTE)[0] != 'e1'


def test_slow_remote_region_is_not_preferred():
    """A remote region that answered later than the local queues is avoided."""
    harness = PolicyHarness()
    harness.loads.reports = {'w1': FULL, 'w2': FULL}
    slow = timedelta(seconds=9)
    harness.tracker.observations.add(ExchangeSample('east', slow, slow))
    assert harness.rank(make_call(), LOCAL + REMOTE)[0] != 'e1'


@pytest.mark.parametrize(
    ('failures', 'is_offered'),
    [(0, True), (2, True), (3, False)],
)
def test_circuit_opens_after_failures_in_a_row(failures, is_offered):
    """A server that failed three times in a row gets no further call."""
    harness = PolicyHarness()
    for _ in range(failures):
        harness.tracker.circuit_breakers.record_failure('w1')
    assert ('w1' in harness.rank(make_call(), LOCAL)) is is_offered


def test_open_circuit_allows_one_probe_then_slow_start():
    """A recovering server must not get the full load at once."""
    harness = PolicyHarness()
    circuit_breakers = harness.tracker.circuit_breakers
    for _ in range(3):
        circuit_breakers.record_failure('w1')
    harness.clock.advance(timedelta(seconds=1))
    assert circuit_breakers.allows('w1', 0)
    assert not circuit_breakers.allows('w1', 1)
    circuit_breakers.record_success('w1')
    assert not circuit_breakers.allows('w1', 1)
    harness.clock.advance(timedelta(seconds=5))
    assert circuit_breakers.allows('w1', 100)


def test_exhausted_link_budget_keeps_calls_in_the_region():
    """The remote region is excluded until the token bucket has refilled."""
    harness = PolicyHarness(link_bytes=1000)
    harness.loads.reports = {'w1': FULL, 'w2': FULL}
    harness.tracker.links.spend('east', 1000)
    assert 'e1' not in harness.rank(make_call(body_size=100), LOCAL + REMOTE)
    harness.clock.advance(timedelta(seconds=1))
    assert 'e1' in harness.rank(make_call(body_size=100), LOCAL + REMOTE)


def test_same_prefix_stays_at_one_server_unless_it_is_busier():
    """Prompts with one prefix use one cache, and other prompts spread.

    A server with more calls in flight than others loses its prefix.
    """
    harness = PolicyHarness()
    targets = [make_target(f'w{number}') for number in range(8)]
    winners = {harness.rank(make_call('prefix'), targets)[0] for _ in range(16)}
    assert len(winners) == 1
    spread = {
        harness.rank(make_call(f'other {number}'), targets)[0]
        for number in range(64)
    }
    assert len(spread) > 4
    busy = [
        make_target(target.vm.name, 4 if target.vm.name in winners else 0)
        for target in targets
    ]
    assert harness.rank(make_call('prefix'), busy)[0] not in winners


def test_prefix_leaves_a_server_that_has_become_slow():
    """Affinity must not send prompts to a server beyond the slack."""
    harness = PolicyHarness()
    late = timedelta(milliseconds=600)
    harness.tracker.observations.add(ExchangeSample('w1', late, late))
    ranked = [harness.rank(make_call(f'{n}'), LOCAL) for n in range(16)]
    assert {names[0] for names in ranked} == {'w2'}


def test_prefix_goes_to_a_server_with_the_fewest_calls():
    """Affinity must not load a server more than the least loaded one."""
    harness = PolicyHarness()
    targets = [make_target('w1', 2), make_target('w2', 2), make_target('w3', 1)]
    ranked = [harness.rank(make_call(f'{n}'), targets) for n in range(16)]
    assert {names[0] for names in ranked} == {'w3'}


@pytest.mark.parametrize(
    ('policy', 'targets', 'winners'),
    [
        ('round-robin', LOCAL + REMOTE, ['w1', 'w2', 'e1', 'w1']),
        ('round-robin', [], ['', '']),
        ('home-only', [make_target('w1', 3), *REMOTE], ['w1', 'w1']),
        ('least-in-flight', [make_target('w1', 3), *REMOTE], ['e1', 'e1']),
    ],
)
def test_baselines(policy, targets, winners):
    """Each baseline policy ranks by its simple rule."""
    harness = PolicyHarness(policy)
    ranked = [harness.rank(make_call(), targets) for _ in winners]
    assert [''.join(names[:1]) for names in ranked] == winners


def test_unknown_policy_lists_the_registered_names():
    """The error helps to correct a name in the settings."""
    with pytest.raises(UnknownPolicyError, match='home-only'):
        PolicyHarness('no-such-policy')
