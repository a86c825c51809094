"""Prompts that an engine copies from one that has read them."""

from datetime import timedelta

import msgspec
import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import (
    BackendServer,
    CallKind,
    Engine,
    RequestLimits,
    Revision,
    Route,
    Service,
    Split,
)
from baobabhinge_gateway.forwarding.call import (
    Call,
    CallHead,
    Demand,
    PromptPart,
)
from baobabhinge_gateway.forwarding.deployment_state import (
    create_deployment_state,
)
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.prefixes import CachedPrefix

SECOND = timedelta(seconds=1)
HOME = 'west'
REGIONS = {'west-a': HOME, 'west-b': HOME, 'east-a': 'east'}
ENGINE = Engine(64, 400_000, token_bytes=18_432, copy_rate=180_000)
DEMAND = Demand(
    12_000,
    400,
    (
        PromptPart('a', 500),
        PromptPart('b', 5000),
        PromptPart('own', 6500),
    ),
)
ROUTE = Route(
    'route',
    'host',
    '/',
    CallKind.streamed,
    (Split('model', 1),),
    SECOND,
    SECOND,
)
ENGINES = {'one': 'west-a', 'two': 'west-b', 'three': 'east-a'}


def build_state(engine=ENGINE):
    state = create_deployment_state(ManualClock(), HOME, REGIONS)
    service = Service('model', '/health', 100, engine=engine)
    services = {'model': service}
    state.configuration.adopt(Revision(1, (ROUTE,), services, RequestLimits()))
    for name, domain in ENGINES.items():
        state.catalogue.put(
            BackendServer(name, 'model', f'{name}:1', domain, slots=64),
        )
    state.remote_regions.record('east-1', 'east', [])
    return state


def list_sources(state, region=HOME, homes=()):
    """Return from where each engine of ``region`` would copy, by its name."""
    route = msgspec.structs.replace(ROUTE, regions=homes)
    head = CallHead('attempt', 'POST', 'host', '/', (), demand=DEMAND)
    call = Call(head, b'', route, 'model', SECOND, SECOND, 1)
    return {
        one.server.name: one.copy_from and one.copy_from.name
        for one in Placement(state).list_warm(call, region)
    }


@pytest.mark.parametrize(
    ('readings', 'region', 'sources'),
    [
        ((), HOME, {'one': None, 'two': None}),
        ((('one', 'ab'),), HOME, {'one': None, 'two': 'one'}),
        ((('one', 'ab'),), 'east', {'three': 'one'}),
        ((('three', 'ab'),), HOME, {'one': 'three', 'two': 'three'}),
        # The nearer of two that have read as much.
        (
            (('three', 'ab'), ('two', 'ab')),
            HOME,
            {'one': 'two', 'two': None},
        ),
        # What one has read beyond another is copied if it is worth it.
        ((('one', 'ab'), ('two', 'a')), HOME, {'one': None, 'two': 'one'}),
        ((('one', 'a'), ('two', 'a')), HOME, {'one': None, 'two': None}),
    ],
)
def test_an_engine_copies_from_the_one_that_has_read_most(
    readings,
    region,
    sources,
):
    state = build_state()
    for name, parts in readings:
        state.prefixes.record(CachedPrefix(name, tuple(parts)))
    assert list_sources(state, region) == sources


def forget_reading(state):
    """Let more time pass than parts are kept, with the region in reach."""
    state.clock.advance(11 * SECOND)
    state.remote_regions.record('east-1', 'east', [])


@pytest.mark.parametrize(
    'spoil',
    [
        lambda state: state.reliability.suspect('three', 'the test says so'),
        lambda state: state.configuration.evacuate(frozenset(('east-a',))),
        lambda state: state.catalogue.remove('three'),
        lambda state: state.remote_regions.record('east-1', 'east', ['three']),
        lambda state: state.clock.advance(3 * SECOND),
        forget_reading,
    ],
)
def test_nothing_is_copied_from_an_engine_that_may_not_have_it(spoil):
    state = build_state()
    state.prefixes.record(CachedPrefix('three', ('a', 'b')))
    spoil(state)
    assert list_sources(state) == {'one': None, 'two': None}


def test_a_bound_prompt_is_copied_from_no_other_region():
    state = build_state()
    state.prefixes.record(CachedPrefix('three', ('a', 'b')))
    sources = list_sources(state, homes=(HOME,))
    assert sources == {'one': None, 'two': None}


def test_engines_that_do_not_copy_read():
    state = build_state(Engine(64, 400_000))
    state.prefixes.record(CachedPrefix('one', ('a', 'b')))
    assert list_sources(state) == {'one': None, 'two': None}
