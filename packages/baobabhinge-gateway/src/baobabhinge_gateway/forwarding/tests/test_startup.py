"""Calls that arrive before a process has received the deployment state.

Guards against refusals of calls by a gateway that has just started, and against
calls that wait forever if the store is unreachable.
"""

import asyncio
from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import (
    BackendServer,
    RequestLimits,
    Revision,
)
from baobabhinge_gateway.forwarding.deployment_state import (
    create_deployment_state,
)
from baobabhinge_gateway.forwarding.startup import StartupGate
from baobabhinge_gateway.forwarding.state_updater import StateUpdater

SERVER = BackendServer('one', 'model', '127.0.0.1:1', 'west-a')


@pytest.mark.parametrize(
    ('has_configuration', 'has_server', 'age_ms', 'is_held'),
    [
        (False, False, 0, True),
        (True, False, 0, True),
        (False, True, 999, True),
        (True, True, 0, False),
        (False, False, 1000, False),
    ],
)
async def test_a_call_waits_for_deployment_state_during_startup(
    has_configuration,
    has_server,
    age_ms,
    is_held,
):
    clock = ManualClock()
    state = create_deployment_state(clock, 'west', {'west-a': 'west'})
    updater = StateUpdater(state)
    gate = StartupGate(clock, state)
    clock.advance(timedelta(milliseconds=age_ms))
    if has_configuration:
        updater.adopt(Revision(1, (), {}, RequestLimits()))
    if has_server:
        updater.servers.put(SERVER, 1)
    call = asyncio.create_task(gate.wait())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert call.done() != is_held
    updater.adopt(Revision(1, (), {}, RequestLimits()))
    updater.servers.put(SERVER, 1)
    async with asyncio.timeout(20):
        await call
