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
THREE_VERSIONS = tuple(
    EngineModel('llm', version) for version in ('v1', 'v2', 'v3')
)
UNORDERED = EngineModel('llm', 'v9')
REFUSING = Vm('e1', 'e1:1', 'west', '', Role.engine, fencing=Fencing.refuse)
ANOTHER_REFUSING = Vm(
    'e3', 'e3:1', 'west', '', Role.engine, fencing=Fencing.refuse
)
IGNORING = Vm('e2', 'e2:1', 'west', '', Role.engine)
RETRY_AFTER = timedelta(seconds=30)


class FakeLeaseClient:
    def __init__(self, fencing):
        self.fencing = fencing

    def require(self):
        if not self.fencing:
            raise LeaseNotHeldError
        return Lease(self.fencing, timedelta())

    def abandon(self):
        self.fencing = 0


class FakeEngineClient:
    def __init__(self):
        self.sent = []
        self.failure = None

    async def send(self, vm, order):
        self.sent.append((vm.name, order))
        if self.failure:
            raise self.failure


@pytest.fixture
def components():
    lease_client, engines, clock = (
        FakeLeaseClient(7),
        FakeEngineClient(),
        ManualClock(),
    )
    return (
        lease_client,
        engines,
        clock,
        OrderSender(lease_client, engines, clock),
    )


async def test_engine_ignoring_fencing_gets_orders_after_earlier_ones_time_out(
    components,
):
    _, engines, clock, sender = components
    for vm in (REFUSING, IGNORING):
        await sender.send(PlannedOrder(vm, MODELS))
    assert engines.sent == [('e1', EngineOrder(7, MODELS))]
    clock.advance(PREVIOUS_HOLDER_WAIT)
    await sender.send(PlannedOrder(IGNORING, MODELS))
    assert engines.sent[1:] == [('e2', EngineOrder(7, MODELS))]


async def test_the_wait_restarts_with_each_new_lease(components):
    lease_client, engines, clock, sender = components
    clock.advance(PREVIOUS_HOLDER_WAIT)
    await sender.send(PlannedOrder(IGNORING, MODELS))
    clock.advance(PREVIOUS_HOLDER_WAIT)
    lease_client.fencing = 9
    await sender.send(PlannedOrder(IGNORING, MODELS))
    assert not engines.sent


async def test_no_order_is_sent_without_the_lease(components):
    lease_client, engines, _, sender = components
    lease_client.abandon()
    with pytest.raises(LeaseNotHeldError):
        await sender.send(PlannedOrder(REFUSING, MODELS))
    assert not engines.sent


async def test_no_order_to_a_deferring_engine_until_its_retry_time(components):
    _, engines, clock, sender = components
    engines.failure = OrderDeferredError(RETRY_AFTER)
    for delay in (timedelta(), RETRY_AFTER / 2, RETRY_AFTER / 2):
        clock.advance(delay)
        await sender.send(PlannedOrder(REFUSING, MODELS))
    assert len(engines.sent) == 2


async def test_a_stale_order_error_abandons_the_lease(components):
    _, engines, _, sender = components
    engines.failure = StaleOrderError('stale')
    await sender.send(PlannedOrder(REFUSING, MODELS))
    with pytest.raises(LeaseNotHeldError):
        await sender.send(PlannedOrder(REFUSING, MODELS))


async def test_the_same_order_is_resent_at_growing_intervals(components):
    _, engines, clock, sender = components
    sent_at = []
    for second in range(63):
        await sender.send(PlannedOrder(REFUSING, MODELS))
        if len(engines.sent) > len(sent_at):
            sent_at.append(second)
        clock.advance(timedelta(seconds=1))
    assert sent_at == [0, 2, 6, 14, 30, 46, 62]


PARTLY_LOADED = PlannedOrder(
    REFUSING, THREE_VERSIONS, frozenset(THREE_VERSIONS[:1])
)


@pytest.mark.parametrize(
    'change',
    [
        PlannedOrder(REFUSING, THREE_VERSIONS[:2], PARTLY_LOADED.loaded),
        PlannedOrder(REFUSING, THREE_VERSIONS, frozenset()),
        PlannedOrder(
            REFUSING, THREE_VERSIONS, PARTLY_LOADED.loaded | {UNORDERED}
        ),
        PlannedOrder(ANOTHER_REFUSING, THREE_VERSIONS, PARTLY_LOADED.loaded),
    ],
)
async def test_changed_orders_and_lost_or_added_models_are_not_delayed(
    components, change
):
    _, engines, _, sender = components
    for planned in (PARTLY_LOADED, PARTLY_LOADED, change):
        await sender.send(planned)
    assert [order.models for _, order in engines.sent] == [
        PARTLY_LOADED.models,
        change.models,
    ]


@pytest.mark.parametrize(
    ('first', 'later'),
    [
        (PARTLY_LOADED.loaded, frozenset(THREE_VERSIONS[:2])),
        (PARTLY_LOADED.loaded | {UNORDERED}, PARTLY_LOADED.loaded),
        (PARTLY_LOADED.loaded | {UNORDERED}, frozenset(THREE_VERSIONS[:2])),
    ],
)
async def test_progress_with_an_order_does_not_resend_it_sooner(
    components, first, later
):
    _, engines, _, sender = components
    for loaded in (first, later, later):
        await sender.send(PlannedOrder(REFUSING, THREE_VERSIONS, loaded))
    assert len(engines.sent) == 1


async def test_a_model_loaded_and_lost_again_resends_the_order(components):
    _, engines, _, sender = components
    for count in (1, 2, 1):
        loaded = frozenset(THREE_VERSIONS[:count])
        await sender.send(PlannedOrder(REFUSING, THREE_VERSIONS, loaded))
    assert len(engines.sent) == 2
