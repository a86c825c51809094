"""Estimates of gateways against the model of an engine."""

from datetime import timedelta

import pytest

from baobabhinge_gateway.deployment import BackendServer, Engine
from baobabhinge_gateway.forwarding.engine_timing import (
    estimate_first_event_time,
)
from baobabhinge_gateway.forwarding.estimates import estimate_engine
from baobabhinge_gateway.forwarding.server_load import (
    ServerLoad,
    build_prompt_load,
)
from baobabhinge_standins.batching.engine import BatchingEngine, EngineRun

SECOND = timedelta(seconds=1)
HOUR = timedelta(hours=1)
SERVER = BackendServer('one', 'model', '127.0.0.1:1', 'west-a')
ENGINE = Engine(slots=64, memory=1_000_000)
PROMPT = 4000
LONG_OUTPUT = 1_000_000


def submit(engine, prompt, priority, output=LONG_OUTPUT):
    run = EngineRun(prompt, output, priority, HOUR, HOUR)
    engine.submit(run)
    return run


@pytest.mark.parametrize('running', [0, 20, 40])
@pytest.mark.parametrize(
    'waiting', [(0, 0, 0), (3, 0, 0), (0, 2, 8), (2, 4, 6)]
)
@pytest.mark.parametrize('priority', [0, 1, 2])
def test_the_expected_wait_is_that_of_an_engine_that_serves_urgent_calls_first(
    running, waiting, priority
):
    engine = BatchingEngine()
    for _ in range(running):
        submit(engine, 1, 0)
    engine.advance(SECOND)
    load = ServerLoad(running)
    for level, count in enumerate(waiting):
        for _ in range(count):
            submit(engine, PROMPT, level, output=1)
            load = load.add(build_prompt_load(PROMPT, 0, level))
    added = build_prompt_load(PROMPT, 0, priority)
    estimate = estimate_engine(ENGINE, SERVER, load, added, priority)
    run = submit(engine, PROMPT, priority)
    start = engine.now
    engine.advance(start + 10 * SECOND)
    actual = run.first - start + estimate_first_event_time(load.calls)
    assert actual * 0.85 <= estimate.wait <= actual * 1.15
