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
from baobabhinge_gateway.forwarding.knowledge import create_knowledge
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


def build_knowledge(engine=ENGINE):
    known = create_knowledge(ManualClock(), HOME, REGIONS)
    service = Service('model', '/health', 100, engine=engine)
    services = {'model': service}
    known.holder.adopt(Revision(1, (ROUTE,), services, RequestLimits()))
    for name, domain in ENGINES.items():
        known.catalogue.put(
            BackendServer(name, 'model', f'{name}:1', domain, slots=64),
        )
    known.others.record('east-1', 'east', [])
    return known


def list_sources(known, region=HOME, homes=()):
    """Return from where each engine of ``region`` would copy, by its name."""
    route = msgspec.structs.replace(ROUTE, regions=homes)
    head = CallHead('attempt', 'POST', 'host', '/', (), demand=DEMAND)
    call = Call(head, b'', route, 'model', SECOND, SECOND, 1)
    return {
        one.server.name: one.copy_from and one.copy_from.name
        for one in Placement(known).list_warm(call, region)
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
    known = build_knowledge()
    for name, parts in readings:
        known.prefixes.record(CachedPrefix(name, tuple(parts)))
    assert list_sources(known, region) == sources


def forget_reading(known):
    """Let more time pass than parts are kept, with the region in reach."""
    known.clock.advance(11 * SECOND)
    known.others.record('east-1', 'east', [])


@pytest.mark.parametrize(
    'spoil',
    [
        lambda known: known.trust.suspect('three', 'the test says so'),
        lambda known: known.holder.evacuate(frozenset(('east-a',))),
        lambda known: known.catalogue.remove('three'),
        lambda known: known.others.record('east-1', 'east', ['three']),
        lambda known: known.clock.advance(3 * SECOND),
        forget_reading,
    ],
)
def test_nothing_is_copied_from_an_engine_that_may_not_have_it(spoil):
    known = build_knowledge()
    known.prefixes.record(CachedPrefix('three', ('a', 'b')))
    spoil(known)
    assert list_sources(known) == {'one': None, 'two': None}


def test_a_bound_prompt_is_copied_from_no_other_region():
    known = build_knowledge()
    known.prefixes.record(CachedPrefix('three', ('a', 'b')))
    sources = list_sources(known, homes=(HOME,))
    assert sources == {'one': None, 'two': None}


def test_engines_that_do_not_copy_read():
    known = build_knowledge(Engine(64, 400_000))
    known.prefixes.record(CachedPrefix('one', ('a', 'b')))
    assert list_sources(known) == {'one': None, 'two': None}
