from datetime import timedelta
from random import Random

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.leases import Lease, LeaseLapsedError
from baobabhinge_gateway.orders.giving import QUIET_TIME, OrderGiver
from baobabhinge_gateway.orders.messages import (
    EngineModel,
    EngineOrder,
    OrderDeferredError,
    PlannedOrder,
    StaleOrderError,
)
from baobabhinge_gateway.orders.repeats import LAST_BOUND
from baobabhinge_platform.machines import Fencing, Role, Vm

MODELS = (EngineModel('llm', 'v1'),)
REFUSING = Vm('e1', 'e1:1', 'west', '', Role.engine, fencing=Fencing.refuse)
IGNORING = Vm('e2', 'e2:1', 'west', '', Role.engine)
LATER = timedelta(seconds=30)
SEED = 5


class Keeper:
    def __init__(self, fencing):
        self.fencing = fencing

    def require(self):
        if not self.fencing:
            raise LeaseLapsedError
        return Lease(self.fencing, timedelta())

    def drop(self):
        self.fencing = 0


class Engines:
    def __init__(self):
        self.sent = []
        self.failure = None

    async def send(self, vm, order):
        self.sent.append((vm.name, order))
        if self.failure:
            raise self.failure


@pytest.fixture
def parts():
    keeper, engines, clock = Keeper(7), Engines(), ManualClock()
    return (
        keeper,
        engines,
        clock,
        OrderGiver(keeper, engines, clock, Random(SEED)),
    )


async def test_engines_that_ignore_numbers_wait_out_an_earlier_holder(parts):
    _, engines, clock, giver = parts
    for vm in (REFUSING, IGNORING):
        await giver.give(PlannedOrder(vm, MODELS))
    assert engines.sent == [('e1', EngineOrder(7, MODELS))]
    clock.advance(QUIET_TIME)
    await giver.give(PlannedOrder(IGNORING, MODELS))
    assert engines.sent[1:] == [('e2', EngineOrder(7, MODELS))]


async def test_the_wait_begins_again_with_each_lease(parts):
    keeper, engines, clock, giver = parts
    clock.advance(QUIET_TIME)
    await giver.give(PlannedOrder(IGNORING, MODELS))
    clock.advance(QUIET_TIME)
    keeper.fencing = 9
    await giver.give(PlannedOrder(IGNORING, MODELS))
    assert not engines.sent


async def test_no_order_without_the_lease(parts):
    keeper, engines, _, giver = parts
    keeper.drop()
    with pytest.raises(LeaseLapsedError):
        await giver.give(PlannedOrder(REFUSING, MODELS))
    assert not engines.sent


async def test_an_engine_that_defers_is_left_alone_for_that_long(parts):
    _, engines, clock, giver = parts
    engines.failure = OrderDeferredError(LATER)
    for pause in (timedelta(), LATER / 2, LATER / 2):
        clock.advance(pause)
        await giver.give(PlannedOrder(REFUSING, MODELS))
    assert len(engines.sent) == 2


async def test_a_higher_number_at_an_engine_ends_the_use_of_the_lease(parts):
    _, engines, _, giver = parts
    engines.failure = StaleOrderError('stale')
    await giver.give(PlannedOrder(REFUSING, MODELS))
    with pytest.raises(LeaseLapsedError):
        await giver.give(PlannedOrder(REFUSING, MODELS))


@pytest.mark.parametrize(
    ('seconds', 'most'),
    [(10, 8), (60, 16)],
)
async def test_the_same_order_is_given_ever_less_often(parts, seconds, most):
    _, engines, clock, giver = parts
    for _ in range(seconds):
        await giver.give(PlannedOrder(REFUSING, MODELS))
        clock.advance(timedelta(seconds=1))
    assert 1 < len(engines.sent) <= most
    clock.advance(LAST_BOUND)
    before = len(engines.sent)
    await giver.give(PlannedOrder(REFUSING, MODELS))
    assert len(engines.sent) == before + 1


@pytest.mark.parametrize(
    'change',
    [
        PlannedOrder(REFUSING, (EngineModel('llm', 'v2'),)),
        PlannedOrder(REFUSING, MODELS, frozenset(MODELS)),
        PlannedOrder(IGNORING, MODELS),
    ],
)
async def test_only_the_same_order_is_held_back(parts, change):
    _, engines, clock, giver = parts
    clock.advance(QUIET_TIME)
    await giver.give(PlannedOrder(REFUSING, MODELS))
    await giver.give(PlannedOrder(REFUSING, MODELS))
    assert len(engines.sent) == 1
    clock.advance(QUIET_TIME)
    await giver.give(change)
    assert len(engines.sent) == 2
