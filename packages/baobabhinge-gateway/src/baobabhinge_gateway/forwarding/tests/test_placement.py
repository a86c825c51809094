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
from baobabhinge_gateway.forwarding.knowledge import create_knowledge
from baobabhinge_gateway.forwarding.placement import Placement

SECOND = timedelta(seconds=1)
HOME = 'west'
REGIONS = {'west-a': HOME, 'east-a': 'east'}
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


def build_knowledge(warm_up_rate):
    known = create_knowledge(ManualClock(), HOME, REGIONS)
    service = Service('ledger', '/health', 100, 3 * SECOND, warm_up_rate)
    services = {'ledger': service}
    known.holder.adopt(Revision(1, (ROUTE,), services, RequestLimits()))
    for name, domain in (('one', 'west-a'), ('two', 'east-a')):
        known.catalogue.put(
            BackendServer(name, 'ledger', '127.0.0.1:1', domain),
        )
    return known


def list_names(known, region, tried=()):
    call = Call(HEAD, b'', ROUTE, 'ledger', SECOND, SECOND, 1)
    estimates = Placement(known).list_warm(call, region, tried)
    return [one.server.name for one in estimates]


@pytest.mark.parametrize(('rate', 'names'), [(0, ['one']), (1.9, [])])
def test_only_a_service_with_a_rate_has_cold_servers(rate, names):
    known = build_knowledge(rate)
    known.warmup.record_cold('one', 3 * SECOND)
    assert list_names(known, HOME) == names


def test_what_is_evacuated_suspected_or_tried_gets_nothing():
    known = build_knowledge(0)
    assert list_names(known, 'east') == ['two']
    assert not list_names(known, 'east', {'two'})
    known.trust.suspect('one', 'the test says so')
    assert not list_names(known, HOME)
    known.holder.evacuate(frozenset(('east-a',)))
    assert not list_names(known, 'east')
