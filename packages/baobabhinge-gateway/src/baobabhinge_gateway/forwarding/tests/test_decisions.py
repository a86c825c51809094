from datetime import timedelta
from random import Random

import msgspec
import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import (
    BackendServer,
    CallKind,
    Engine,
    Route,
    Split,
)
from baobabhinge_gateway.forwarding.call import Demand, PromptPart
from baobabhinge_gateway.forwarding.estimates import (
    estimate_engine,
    estimate_plain_service,
)
from baobabhinge_gateway.forwarding.failures import OverloadError
from baobabhinge_gateway.forwarding.loads import LoadTable, ServerLoad
from baobabhinge_gateway.forwarding.prefixes import (
    CachedPrefix,
    PrefixAnnouncements,
    PrefixHistory,
    choose_prefix_engine,
)
from baobabhinge_gateway.forwarding.region_selection import (
    UNAVAILABLE_WAIT,
    RegionChoice,
    choose_region,
)
from baobabhinge_gateway.forwarding.retry_budget import (
    RetryBudgetLimits,
    SharedRetryBudget,
)
from baobabhinge_gateway.forwarding.shedding import check_expected_wait
from baobabhinge_gateway.forwarding.warmup import (
    WarmUpLimiter,
    choose_warm_up_gateway,
)

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
ENGINE = Engine(slots=64, memory=400_000)
SERVER = BackendServer('one', 'model', '127.0.0.1:1', 'west-a', slots=6)
OBJECTIVE = 800 * MILLISECOND
ROUTE = Route(
    'route',
    'host',
    '/',
    CallKind.streamed,
    (Split('model', 1),),
    SECOND,
    SECOND,
)
DEMAND = Demand(
    1000,
    80,
    (PromptPart('a', 300), PromptPart('b', 500), PromptPart('own', 200)),
)


@pytest.mark.parametrize(
    ('home_ms', 'away_ms', 'chosen'),
    [
        (100, 10, 'west'),
        (110, 10, 'west'),
        (270, 10, 'east'),
        (270, 90, 'west'),
        (500, 50, 'east'),
        (500, 300, 'east'),
        (500, 320, 'west'),
        (3000, 2500, 'east'),
        (None, 50, 'east'),
        (100, None, 'west'),
        (None, None, None),
    ],
)
def test_a_call_leaves_a_late_home_for_a_clearly_better_neighbour(
    home_ms,
    away_ms,
    chosen,
):
    waits = {'west': UNAVAILABLE_WAIT, 'east': UNAVAILABLE_WAIT}
    if home_ms is not None:
        waits['west'] = home_ms * MILLISECOND
    if away_ms is not None:
        waits['east'] = away_ms * MILLISECOND
    choice = choose_region('west', waits, OBJECTIVE)
    assert (choice and choice.region) == chosen


@pytest.mark.parametrize(
    ('wait_ms', 'is_refused'),
    [(100, False), (3200, False), (3201, True), (9000, True)],
)
def test_what_no_caller_waits_for_is_refused_with_a_time_to_return(
    wait_ms,
    is_refused,
):
    choice = RegionChoice('west', wait_ms * MILLISECOND, SECOND)
    try:
        check_expected_wait(choice, OBJECTIVE, Random(1))
    except OverloadError as refusal:
        assert is_refused
        assert 200 * MILLISECOND <= refusal.retry_after <= 4 * SECOND
    else:
        assert not is_refused


def test_repeats_of_all_gateways_stay_within_the_budget():
    clock = ManualClock()
    terms = RetryBudgetLimits(ratio=0.2, slack=56, window=10 * SECOND)
    gateways = [SharedRetryBudget(terms, clock) for _ in range(8)]
    taken = 0
    for _ in range(100):
        clock.advance(100 * MILLISECOND)
        for budget in gateways:
            budget.gateway_count = len(gateways)
            budget.record_call('model')
            taken += budget.try_acquire('model')
    assert 0 < taken <= 0.2 * 800 + 56


def test_a_budget_is_restored_after_its_window():
    clock = ManualClock()
    budget = SharedRetryBudget(RetryBudgetLimits(slack=10), clock)
    taken = sum(budget.try_acquire('model') for _ in range(20))
    assert 0 < taken < 20
    clock.advance(11 * SECOND)
    assert budget.try_acquire('model')
    assert budget.try_acquire('ledger')


@pytest.mark.parametrize('gateways', [1, 2, 4])
def test_a_cold_server_is_sent_less_than_it_bears(gateways):
    clock = ManualClock()
    names = [f'gateway-{number}' for number in range(gateways)]
    paces = {name: WarmUpLimiter(clock) for name in names}
    sent = 0
    for _ in range(1000):
        clock.advance(MILLISECOND)
        for name in names:
            pace = paces[name]
            if choose_warm_up_gateway(SERVER, names) == name and pace.may_send(
                'one'
            ):
                pace.record_call('one', 1.9)
                sent += 1
    assert 1 <= sent <= 1.9 * 1.5 + 3


def test_a_server_is_cold_as_long_as_it_said():
    clock = ManualClock()
    pace = WarmUpLimiter(clock)
    pace.record_cold('one', 3 * SECOND)
    pace.record_cold('one', SECOND)
    clock.advance(2 * SECOND)
    assert pace.is_cold('one')
    clock.advance(SECOND)
    assert not pace.is_cold('one')


def test_shared_parts_count_as_cached_up_to_the_first_unknown_one():
    clock = ManualClock()
    history = PrefixHistory(clock)
    assert not history.count_cached('one', DEMAND)
    history.record(CachedPrefix('one', ('a', 'b')))
    other = Demand(900, 80, (DEMAND.parts[0], PromptPart('c', 600)))
    assert history.count_cached('one', DEMAND) == 800
    assert history.count_cached('one', other) == 300
    assert not history.count_cached('two', DEMAND)
    clock.advance(11 * SECOND)
    assert not history.count_cached('one', DEMAND, 10 * SECOND)
    assert history.count_cached('one', DEMAND) == 800
    clock.advance(50 * SECOND)
    assert not history.count_cached('one', DEMAND)


@pytest.mark.parametrize(
    ('homes', 'shared', 'west', 'east'),
    [
        ((), 1000, 1, 1),
        ((), 999, 1, 0),
        (('west',), 1000, 1, 0),
        (('west', 'east'), 1000, 1, 1),
    ],
)
def test_readings_are_told_once_where_the_call_may_be_served(
    homes,
    shared,
    west,
    east,
):
    news = PrefixAnnouncements('west', ['east', 'west'])
    route = msgspec.structs.replace(ROUTE, regions=homes)
    news.add(CachedPrefix('one', ('a',)), route, shared)
    assert len(news.drain('west')) == west
    assert len(news.drain('east')) == east
    assert not news.drain('west')
    assert not news.drain('east')
    assert not news.drain('')


def test_the_newest_readings_fit_into_one_heartbeat():
    news = PrefixAnnouncements('west', ['west'])
    for number in range(1000):
        part = str(number).zfill(8)
        news.add(CachedPrefix('engine-in-the-west', (part,)), ROUTE, 0)
    told = news.drain('west')
    assert told[-1].parts == ('00000999',)
    assert len(msgspec.msgpack.encode(told)) < 700


def test_a_keeper_moves_only_if_it_is_gone():
    servers = [
        msgspec.structs.replace(SERVER, name=name)
        for name in ('one', 'two', 'three')
    ]
    keeper = choose_prefix_engine(DEMAND, servers)
    others = [server for server in servers if server != keeper]
    assert choose_prefix_engine(DEMAND, list(reversed(servers))) == keeper
    assert choose_prefix_engine(DEMAND, [keeper, others[0]]) == keeper
    assert choose_prefix_engine(DEMAND, others) in others
    assert (
        choose_prefix_engine(Demand(5, 5, (PromptPart('own', 5),)), servers)
        is None
    )


@pytest.mark.parametrize(
    ('load', 'lowest_ms', 'highest_ms'),
    [
        (ServerLoad(), 40, 100),
        (ServerLoad(30, 50_000, 100_000), 900, 1200),
        (ServerLoad(64, 0, 100_000), 80, 200),
        (ServerLoad(10, 0, 400_000), 90, 2000),
    ],
)
def test_an_engine_is_slow_with_prompts_memory_and_calls(
    load,
    lowest_ms,
    highest_ms,
):
    added = ServerLoad(1, 1000, 1040)
    estimate = estimate_engine(ENGINE, SERVER, load, added)
    assert lowest_ms <= estimate.wait / MILLISECOND <= highest_ms


def test_an_application_worker_is_slow_when_its_slots_are_taken():
    free = estimate_plain_service(SERVER, ServerLoad(5))
    full = estimate_plain_service(SERVER, ServerLoad(11))
    assert full.wait == 2 * free.wait


def test_loads_of_all_gateways_are_added_while_they_are_fresh():
    clock = ManualClock()
    table = LoadTable(clock)
    table.record('two', {'one': ServerLoad(3, 100, 500)})
    with table.hold('one', ServerLoad(1, 10, 20)) as held:
        assert table.read('one') == ServerLoad(4, 110, 520)
        held.note_first_event()
        held.note_first_event()
        assert table.own == {'one': ServerLoad(1, 0, 20)}
        clock.advance(3 * SECOND)
        assert table.read('one') == ServerLoad(1, 0, 20)
    assert not table.own


def test_the_loads_of_each_gateway_age_by_themselves():
    clock = ManualClock()
    table = LoadTable(clock)
    table.record('two', {'one': ServerLoad(3)})
    clock.advance(SECOND)
    assert table.read('one').calls == 3
    table.record('three', {'one': ServerLoad(5)})
    assert table.read('one').calls == 8
    table.record('three', {'other': ServerLoad(1)})
    assert table.read('one').calls == 3
    clock.advance(SECOND)
    assert table.read('one').calls == 3
    clock.advance(MILLISECOND)
    assert not table.read('one').calls
    assert table.read('other').calls == 1
