"""Servers that may get a call."""

from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import (
    BackendServer,
    CallKind,
    RequestLimits,
    Revision,
    Route,
    Service,
    Split,
)
from baobabhinge_gateway.forwarding.call import Call, CallHead
from baobabhinge_gateway.forwarding.deployment_state import (
    create_deployment_state,
)
from baobabhinge_gateway.forwarding.placement import Placement

SECOND = timedelta(seconds=1)
LOCAL_REGION = 'west'
REGIONS = {'west-a': LOCAL_REGION, 'east-a': 'east'}
ROUTE = Route(
    'route',
    'host',
    '/',
    CallKind.repeatable,
    (Split('ledger', 1),),
    SECOND,
    SECOND,
)
HEAD = CallHead('attempt', 'GET', 'host', '/', ())


def build_state(warm_up_rate):
    state = create_deployment_state(ManualClock(), LOCAL_REGION, REGIONS)
    service = Service('ledger', '/health', 100, 3 * SECOND, warm_up_rate)
    services = {'ledger': service}
    state.configuration.adopt(Revision(1, (ROUTE,), services, RequestLimits()))
    for name, domain in (('one', 'west-a'), ('two', 'east-a')):
        state.catalogue.put(
            BackendServer(name, 'ledger', '127.0.0.1:1', domain),
        )
    return state


def list_names(state, region, tried=()):
    call = Call(HEAD, b'', ROUTE, 'ledger', SECOND, SECOND, 1)
    estimates = Placement(state).list_warm(call, region, tried)
    return [one.server.name for one in estimates]


@pytest.mark.parametrize(('rate', 'names'), [(0, ['one']), (1.9, [])])
def test_only_services_with_a_warm_up_rate_have_cold_servers(rate, names):
    """A cold report must not take a server without warm-up out of use."""
    state = build_state(rate)
    state.warmup.record_cold('one', 3 * SECOND)
    assert list_names(state, LOCAL_REGION) == names


def test_evacuated_suspected_and_tried_servers_get_no_calls():
    state = build_state(0)
    assert list_names(state, 'east') == ['two']
    assert not list_names(state, 'east', {'two'})
    state.reliability.suspect('one', 'suspected by the test')
    assert not list_names(state, LOCAL_REGION)
    state.configuration.evacuate(frozenset(('east-a',)))
    assert not list_names(state, 'east')
