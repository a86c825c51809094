"""Forwarding to remote regions, and regions that cannot serve a call."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from baobabhinge_gateway.deployment import (
    BackendServer,
    RequestLimits,
    Revision,
    Service,
)
from baobabhinge_gateway.forwarding.assembly import build_target_selector
from baobabhinge_gateway.forwarding.call import Call, CallHead
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_gateway.forwarding.key_revisions import ListRevisions
from baobabhinge_gateway.forwarding.region_selection import (
    choose_region,
    may_forward,
)
from baobabhinge_gateway.forwarding.retry_budget import RetryBudgetLimits
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.forwarding.tests.test_placement import ROUTE, SECOND
from baobabhinge_gateway.neighbours import GatewayContact, Heartbeat

MILLISECOND = timedelta(milliseconds=1)
REGIONS = {'west-a': 'west', 'east-a': 'east', 'south-a': 'south'}
SERVERS = {'near': 'west-a', 'far': 'east-a', 'farther': 'south-a'}


def build_core(region='west', *, listed=('far', 'farther')):
    core = GatewayCore(
        ForwardingSettings(
            own=GatewayContact(f'{region}-1', region, '127.0.0.1', 90),
            caller_address='127.0.0.1:1',
            hop_address='127.0.0.1:2',
            regions=REGIONS,
            budget=RetryBudgetLimits(),
            grace=timedelta(seconds=8),
        ),
    )
    services = {'ledger': Service('ledger', '/health', 100, 3 * SECOND, 1.9)}
    core.updater.adopt(Revision(1, (ROUTE,), services, RequestLimits()))
    core.updater.servers.replace(
        {
            BackendServer(name, 'ledger', f'{name}:1', SERVERS[name]): 1
            for name in listed
        },
        ListRevisions(1, 1),
    )
    return core


def receive_heartbeat(core, name, region, shut=()):
    """Receive a heartbeat of a gateway that takes forwarded calls."""
    addresses = (f'{name}:1', f'{name}:2')
    beat = Heartbeat(name, 'a', 1, region, *addresses, True, 1, {}, shut=shut)
    core.gateways.record_heartbeat(beat)
    core.apply_heartbeat(beat)


def choose(core, tried=()):
    now = core.ingress.clock.read_monotonic()
    head = CallHead('attempt', 'GET', 'host', '/', ())
    call = Call(head, b'', ROUTE, 'ledger', now, now + SECOND, 1)
    selector = build_target_selector(core)
    selector._random = Random(1)
    return selector.choose(call, tried)


@pytest.mark.parametrize(
    ('shut', 'tried', 'region'),
    [
        ((), (), {'east', 'south'}),
        (('far',), (), {'south'}),
        ((), ('east',), {'south'}),
        (('farther',), ('east',), set()),
        (('far', 'farther'), (), set()),
    ],
)
def test_calls_skip_regions_that_were_tried_or_report_no_server(
    shut,
    tried,
    region,
):
    """A report of one gateway of a region is enough."""
    core = build_core()
    receive_heartbeat(core, 'east-1', 'east', shut)
    receive_heartbeat(core, 'east-2', 'east')
    receive_heartbeat(core, 'south-1', 'south', shut)
    if region:
        assert choose(core, tried).region in region
        return
    with pytest.raises(NotServedError):
        choose(core, tried)


def test_a_remote_target_excludes_its_whole_region_from_retries():
    """Another gateway there would choose among the same servers."""
    core = build_core()
    receive_heartbeat(core, 'east-1', 'east')
    assert set(choose(core).list_tried()) == {'east-1:2', 'east'}


def test_heartbeats_report_unavailable_servers_of_the_local_region():
    """Cold and suspected servers look idle to other regions otherwise."""
    core = build_core('east', listed=('near', 'far', 'farther'))
    assert not core.compose_heartbeat(1, 'west').shut
    core.state.warmup.record_cold('far', SECOND)
    core.state.warmup.record_cold('near', SECOND)
    assert core.compose_heartbeat(2, 'west').shut == ['far']
    core.state.warmup.record_warm('far')
    core.state.reliability.suspect('far', 'suspected by the test')
    assert core.compose_heartbeat(3, 'west').shut == ['far']


@given(
    some.integers(0, 3000),
    some.integers(0, 500),
    some.integers(0, 2000),
    some.sampled_from((300, 811, 1223, 5000)),
)
def test_regions_that_are_not_estimated_are_never_chosen(
    local_ms, shortest_ms, more_ms, objective_ms
):
    """The choice is the same as with estimates for all regions."""
    local_wait = local_ms * MILLISECOND
    shortest = shortest_ms * MILLISECOND
    objective = objective_ms * MILLISECOND
    waits = {'west': local_wait, 'east': shortest + more_ms * MILLISECOND}
    choice = choose_region('west', waits, objective)
    if not may_forward(local_wait, shortest, objective):
        assert choice.region == 'west'
