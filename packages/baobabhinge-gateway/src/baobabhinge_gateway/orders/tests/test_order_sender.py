from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.leases import Lease, LeaseNotHeldError
from baobabhinge_gateway.orders.messages import (
    EngineModel,
    EngineOrder,
    OrderDeferredError,
    PlannedOrder,
    StaleOrderError,
)
from baobabhinge_gateway.orders.order_sender import (
    PREVIOUS_HOLDER_WAIT,
    OrderSender,
)
from baobabhinge_platform.machines import Fencing, Role, Vm

MODELS = (EngineModel('llm', 'v1'),)
THREE = tuple(EngineModel('llm', version) for version in ('v1', 'v2', 'v3'))
FOREIGN = EngineModel('llm', 'v9')
REFUSING = Vm('e1', 'e1:1', 'west', '', Role.engine, fencing=Fencing.refuse)
OTHER = Vm('e3', 'e3:1', 'west', '', Role.engine, fencing=Fencing.refuse)
IGNORING = Vm('e2', 'e2:1', 'west', '', Role.engine)
LATER = timedelta(seconds=30)


class Keeper:
    def __init__(self, fencing):
        self.fencing = fencing

    def require(self):
        if not self.fencing:
            raise LeaseNotHeldError
        return Lease(self.fencing, timedelta())

    def abandon(self):
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
    lease_client, engines, clock = Keeper(7), Engines(), ManualClock()
    return (
        lease_client,
        engines,
        clock,
        OrderSender(lease_client, engines, clock),
    )


async def test_engines_that_ignore_numbers_wait_out_an_earlier_holder(parts):
    _, engines, clock, sender = parts
    for vm in (REFUSING, IGNORING):
        await sender.send(PlannedOrder(vm, MODELS))
    assert engines.sent == [('e1', EngineOrder(7, MODELS))]
    clock.advance(PREVIOUS_HOLDER_WAIT)
    await sender.send(PlannedOrder(IGNORING, MODELS))
    assert engines.sent[1:] == [('e2', EngineOrder(7, MODELS))]


async def test_the_wait_begins_again_with_each_lease(parts):
    lease_client, engines, clock, sender = parts
    clock.advance(PREVIOUS_HOLDER_WAIT)
    await sender.send(PlannedOrder(IGNORING, MODELS))
    clock.advance(PREVIOUS_HOLDER_WAIT)
    lease_client.fencing = 9
    await sender.send(PlannedOrder(IGNORING, MODELS))
    assert not engines.sent


async def test_no_order_without_the_lease(parts):
    lease_client, engines, _, sender = parts
    lease_client.abandon()
    with pytest.raises(LeaseNotHeldError):
        await sender.send(PlannedOrder(REFUSING, MODELS))
    assert not engines.sent


async def test_an_engine_that_defers_is_left_alone_for_that_long(parts):
    _, engines, clock, sender = parts
    engines.failure = OrderDeferredError(LATER)
    for pause in (timedelta(), LATER / 2, LATER / 2):
        clock.advance(pause)
        await sender.send(PlannedOrder(REFUSING, MODELS))
    assert len(engines.sent) == 2


async def test_a_higher_number_at_an_engine_ends_the_use_of_the_lease(parts):
    _, engines, _, sender = parts
    engines.failure = StaleOrderError('stale')
    await sender.send(PlannedOrder(REFUSING, MODELS))
    with pytest.raises(LeaseNotHeldError):
        await sender.send(PlannedOrder(REFUSING, MODELS))


async def test_the_same_order_is_given_ever_less_often(parts):
    _, engines, clock, sender = parts
    given = []
    for second in range(63):
        await sender.send(PlannedOrder(REFUSING, MODELS))
        if len(engines.sent) > len(given):
            given.append(second)
        clock.advance(timedelta(seconds=1))
    assert given == [0, 2, 6, 14, 30, 46, 62]


BEGUN = PlannedOrder(REFUSING, THREE, frozenset(THREE[:1]))


@pytest.mark.parametrize(
    'change',
    [
        PlannedOrder(REFUSING, THREE[:2], BEGUN.loaded),
        PlannedOrder(REFUSING, THREE, frozenset()),
        PlannedOrder(REFUSING, THREE, BEGUN.loaded | {FOREIGN}),
        PlannedOrder(OTHER, THREE, BEGUN.loaded),
    ],
)
async def test_only_the_same_order_is_held_back(parts, change):
    _, engines, _, sender = parts
    for planned in (BEGUN, BEGUN, change):
        await sender.send(planned)
    assert [order.models for _, order in engines.sent] == [
        BEGUN.models,
        change.models,
    ]


@pytest.mark.parametrize(
    ('first', 'later'),
    [
        (BEGUN.loaded, frozenset(THREE[:2])),
        (BEGUN.loaded | {FOREIGN}, BEGUN.loaded),
        (BEGUN.loaded | {FOREIGN}, frozenset(THREE[:2])),
    ],
)
async def test_an_engine_that_carries_out_its_order_gets_it_no_sooner(
    parts, first, later
):
    _, engines, _, sender = parts
    for loaded in (first, later, later):
        await sender.send(PlannedOrder(REFUSING, THREE, loaded))
    assert len(engines.sent) == 1


async def test_what_an_engine_has_loaded_since_is_not_forgotten(parts):
    _, engines, _, sender = parts
    for count in (1, 2, 1):
        loaded = frozenset(THREE[:count])
        await sender.send(PlannedOrder(REFUSING, THREE, loaded))
    assert len(engines.sent) == 2
