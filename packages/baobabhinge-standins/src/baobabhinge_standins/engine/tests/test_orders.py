"""Orders, loaded models, cache events and load reports."""

import asyncio
import itertools
from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_standins.engine.events import CacheEventLog
from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.engine.models import Fencing, LoadedModel
from baobabhinge_standins.engine.tests.conftest import run_engine
from baobabhinge_standins.load import Load, LoadReport

MODEL = {'model': 'llm', 'version': 'v3', 'adapters': ['covers']}


async def send_order(engine, fencing, models, role='serve'):
    order = {'fencing': fencing, 'models': models, 'role': role}
    async with engine.http.put(
        f'{engine.address}/v1/orders', json=order
    ) as answer:
        return answer.status, (await answer.json())['fencing']


async def wait_models(engine, expected):
    async with asyncio.timeout(10):
        while (await engine.get('v1/models'))['models'] != expected:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ('fencing', 'answers'),
    [
        (Fencing.refuse, [(202, 12), (409, 12), (202, 12)]),
        (Fencing.ignore, [(202, 12), (202, 11), (202, 12)]),
    ],
)
async def test_older_fencing_number(fencing, answers):
    async with run_engine(fencing=fencing) as engine:
        sent = [
            await send_order(engine, number, [MODEL]) for number in (12, 11, 12)
        ]
        taken = await engine.get('-/orders')
    assert sent == answers
    assert len(taken) == sum(status == 202 for status, _ in answers)


async def test_loaded_versions_are_reported():
    async with run_engine(load_lag=timedelta()) as engine:
        await send_order(engine, 1, [MODEL])
        await wait_models(engine, [MODEL])
        async with asyncio.timeout(10):
            while not (await engine.get('load'))['models']:
                await asyncio.sleep(0.01)
        load = await engine.get('load')
        await engine.ask(model='llm')
        runs = await engine.list_runs()
    assert load['models'] == ['llm@v3', 'llm:covers@v3']
    assert [run.version for run in runs] == ['v3']


async def test_order_is_the_wanted_end():
    async with run_engine() as engine:
        assert (await engine.ask())[0] == 200
        assert (await engine.ask(model='llm@v3'))[0] == 404
        await send_order(engine, 1, [MODEL])
        await wait_models(engine, [MODEL])
        other = {'model': 'other', 'version': '', 'adapters': []}
        await send_order(engine, 2, [other])
        await wait_models(engine, [other])
        assert (await engine.ask())[0] == 404
        assert (await engine.ask(model='other'))[0] == 200


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('llm', True),
        ('llm@v3', True),
        ('llm:covers@v3', True),
        ('llm:other', False),
        ('llm@v2', False),
        ('llm2', False),
    ],
)
def test_model_names(name, expected):
    assert LoadedModel('llm', 'v3', ['covers']).serves(name) is expected


async def wait_draining(engine):
    load = await engine.get('load')
    async with asyncio.timeout(10):
        while not load['draining']:
            load = await engine.get('load')
    return load


@pytest.mark.parametrize(('source', 'running'), [('order', 0), ('fault', 7)])
async def test_draining_is_reported(source, running):
    async with run_engine(load_lag=timedelta()) as engine:
        assert not (await engine.get('load'))['draining']
        if source == 'order':
            await send_order(engine, 1, [MODEL], role='drain')
        else:
            faults = EngineFaults(draining=True, reported_running=7)
            await engine.control.send('PUT', '-/faults', faults)
        load = await wait_draining(engine)
    assert load['running'] == running


def test_load_report_lags():
    clock = ManualClock()
    running = itertools.count()
    report = LoadReport(
        clock,
        timedelta(milliseconds=250),
        lambda: Load(next(running), 0, 8),
    )
    seen = []
    for _ in range(10):
        clock.advance(timedelta(milliseconds=100))
        report.sample()
        load = report.get()
        seen.append(load.running)
        assert load.age_ms >= 250
    assert seen == [0, 0, 0, 1, 2, 3, 4, 5, 6, 7]


@pytest.mark.parametrize(
    ('gap', 'waited', 'after', 'numbers'),
    [
        (0, 499, 0, []),
        (0, 500, 0, [1, 2, 3, 4, 5, 6]),
        (3, 500, 0, [1, 2, 4, 5]),
        (3, 500, 4, [5]),
    ],
)
def test_cache_events_are_late_and_have_gaps(gap, waited, after, numbers):
    clock = ManualClock()
    events = CacheEventLog(clock, timedelta(milliseconds=500), gap)
    for _ in range(6):
        events.add('stored', 'block')
    clock.advance(timedelta(milliseconds=waited))
    assert [event.number for event in events.list_after(after)] == numbers


@pytest.mark.parametrize(
    ('gap', 'after', 'numbers'),
    [(50, 1, [2, 3]), (2, 0, [1, 3])],
)
async def test_cache_events_come_from_requests(gap, after, numbers):
    options = {'event_lag': timedelta(), 'event_gap': gap}
    async with run_engine(**options) as engine:
        await engine.ask()
        listed = await engine.get(f'v1/cache-events?after={after}')
    assert [event['number'] for event in listed['events']] == numbers
    assert listed['events'][0]['kind'] == 'stored'


async def test_cache_events_are_late():
    async with run_engine(event_lag=timedelta(hours=1)) as engine:
        await engine.ask()
        listed = await engine.get('v1/cache-events')
    assert not listed['events']
