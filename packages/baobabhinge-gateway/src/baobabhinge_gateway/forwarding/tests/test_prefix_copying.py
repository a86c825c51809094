"""Prefixes that an engine copies from one that has them cached."""

from datetime import timedelta
from random import Random

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
from baobabhinge_gateway.forwarding.failures import OverloadError
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.prefix_copying import (
    PrefixSource,
    choose_source,
)
from baobabhinge_gateway.forwarding.prefixes import CachedPrefix
from baobabhinge_gateway.forwarding.rankings import find_ranking
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.server_load import (
    ServerLoad,
    build_prompt_load,
)
from baobabhinge_gateway.forwarding.target_selection import TargetSelector
from baobabhinge_gateway.neighbours import GatewayContact, GatewayTable

SECOND = timedelta(seconds=1)
LOCAL_REGION = 'west'
REGIONS = {'west-a': LOCAL_REGION, 'west-b': LOCAL_REGION, 'east-a': 'east'}
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
    state = create_deployment_state(ManualClock(), LOCAL_REGION, REGIONS)
    service = Service('model', '/health', 100, engine=engine)
    services = {'model': service}
    state.configuration.adopt(Revision(1, (ROUTE,), services, RequestLimits()))
    for name, domain in ENGINES.items():
        state.catalogue.put(
            BackendServer(name, 'model', f'{name}:1', domain, slots=64),
        )
    state.remote_regions.record('east-1', 'east', [])
    return state


def list_sources(state, region=LOCAL_REGION, regions=()):
    """Return the engine from which each engine of ``region`` would copy."""
    route = msgspec.structs.replace(ROUTE, regions=regions)
    head = CallHead('attempt', 'POST', 'host', '/', (), demand=DEMAND)
    call = Call(head, b'', route, 'model', SECOND, SECOND, 1)
    return {
        one.server.name: one.copy_from and one.copy_from.name
        for one in Placement(state).list_warm(call, region)
    }


@pytest.mark.parametrize(
    ('cached', 'region', 'sources'),
    [
        ((), LOCAL_REGION, {'one': None, 'two': None}),
        ((('one', 'ab'),), LOCAL_REGION, {'one': None, 'two': 'one'}),
        ((('one', 'ab'),), 'east', {'three': 'one'}),
        ((('three', 'ab'),), LOCAL_REGION, {'one': 'three', 'two': 'three'}),
        # The local one of two engines with equally long cached prefixes.
        (
            (('three', 'ab'), ('two', 'ab')),
            LOCAL_REGION,
            {'one': 'two', 'two': None},
        ),
        # A longer prefix is copied if it has enough additional tokens.
        (
            (('one', 'ab'), ('two', 'a')),
            LOCAL_REGION,
            {'one': None, 'two': 'one'},
        ),
        (
            (('one', 'a'), ('two', 'a')),
            LOCAL_REGION,
            {'one': None, 'two': None},
        ),
    ],
)
def test_engines_copy_from_the_one_with_the_longest_cached_prefix(
    cached,
    region,
    sources,
):
    state = build_state()
    for name, parts in cached:
        state.prefixes.record(CachedPrefix(name, tuple(parts)))
    assert list_sources(state, region) == sources


def expire_prefix(state):
    """Exceed the maximum age of a source while its region stays live."""
    state.clock.advance(11 * SECOND)
    state.remote_regions.record('east-1', 'east', [])


@pytest.mark.parametrize(
    'disable',
    [
        lambda state: state.reliability.suspect('three', 'by the test'),
        lambda state: state.configuration.evacuate(frozenset(('east-a',))),
        lambda state: state.catalogue.remove('three'),
        lambda state: state.remote_regions.record('east-1', 'east', ['three']),
        lambda state: state.clock.advance(3 * SECOND),
        expire_prefix,
    ],
)
def test_nothing_is_copied_from_an_unavailable_or_expired_source(disable):
    """An engine waits in vain for a copy from such a source."""
    state = build_state()
    state.prefixes.record(CachedPrefix('three', ('a', 'b')))
    disable(state)
    assert list_sources(state) == {'one': None, 'two': None}


def test_a_prompt_bound_to_a_region_is_not_copied_from_another():
    """Its data must not cross the border of the region."""
    state = build_state()
    state.prefixes.record(CachedPrefix('three', ('a', 'b')))
    sources = list_sources(state, regions=(LOCAL_REGION,))
    assert sources == {'one': None, 'two': None}


def test_engines_without_a_copy_rate_do_not_copy():
    state = build_state(Engine(64, 400_000))
    state.prefixes.record(CachedPrefix('one', ('a', 'b')))
    assert list_sources(state) == {'one': None, 'two': None}


@pytest.mark.parametrize(
    ('demand', 'last_event', 'is_refused'),
    [
        (DEMAND, None, True),
        (Demand(60_000, 400, (PromptPart('own', 60_000),)), None, True),
        (DEMAND, '7', False),
    ],
)
def test_a_saturated_engine_gets_only_streams_that_have_begun(
    demand, last_event, is_refused
):
    state = build_state()
    waiting = build_prompt_load(40_000, 0, 0)
    state.loads.record('west-2', {name: waiting for name in ENGINES})
    head = CallHead('attempt', 'POST', 'host', '/', (), demand=demand)
    call = Call(head, b'', ROUTE, 'model', SECOND, SECOND, 1)
    call.last_event = last_event
    selector = build_selector(state)
    if is_refused:
        with pytest.raises(OverloadError):
            selector.choose(call, ())
    else:
        assert selector.choose(call, ()).region == LOCAL_REGION


def test_a_large_prompt_is_not_refused_for_its_own_size():
    """The engines are idle; only its own prompt takes longer than allowed."""
    demand = Demand(60_000, 400, (PromptPart('own', 60_000),))
    head = CallHead('attempt', 'POST', 'host', '/', (), demand=demand)
    call = Call(head, b'', ROUTE, 'model', SECOND, SECOND, 1)
    assert build_selector(build_state()).choose(call, ()).estimate is not None


def test_a_prompt_is_refused_although_engines_shared_by_long_answers_idle():
    """These are kept for long answers; all others have prompts waiting."""
    state = build_state()
    engines = [f'engine-{number}' for number in range(8)]
    for name in (*engines, *ENGINES):
        state.catalogue.remove(name)
    for name in engines:
        server = BackendServer(name, 'model', f'{name}:1', 'west-a', slots=64)
        state.catalogue.put(server)
    waiting = build_prompt_load(30_000, 30_000, 0)
    loads = dict.fromkeys(engines, waiting)
    shared = build_prompt_load(0, 0, 0, is_long=True)
    loads['engine-3'] = ServerLoad(30, long_answers=30).add(shared)
    state.loads.record('west-2', loads)
    head = CallHead('attempt', 'POST', 'host', '/', (), demand=DEMAND)
    call = Call(head, b'', ROUTE, 'model', SECOND, SECOND, 1)
    with pytest.raises(OverloadError):
        build_selector(state).choose(call, ())


def build_selector(state):
    own = GatewayContact('west-1', LOCAL_REGION, '127.0.0.1', 1)
    gateways = GatewayTable(own, state.clock)
    directory = RegionDirectory(own.name, LOCAL_REGION, ['west'], gateways)
    ranking = find_ranking('soonest')
    return TargetSelector(
        Placement(state), directory, state, ranking, Random(1)
    )


@pytest.mark.parametrize(
    ('software', 'is_copied'), [('v1', True), ('v2', False), ('', False)]
)
def test_a_prefix_is_copied_only_within_one_version(software, is_copied):
    """What two versions keep does not fit together."""
    server = BackendServer('one', 'model', 'one:1', 'west-a', software='v1')
    other = msgspec.structs.replace(server, name='two', software=software)
    source = PrefixSource(server, 5000)
    assert (choose_source(source, other) is source) == is_copied
