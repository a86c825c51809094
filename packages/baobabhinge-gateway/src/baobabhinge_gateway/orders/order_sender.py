"""Sending of orders under a lease."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.leases import LeaseClient
from baobabhinge_gateway.orders.client import ORDER_TIMEOUT, EngineClient
from baobabhinge_gateway.orders.messages import (
    EngineOrder,
    EngineState,
    OrderDeferredError,
    OrderError,
    PlannedOrder,
    StaleOrderError,
)
from baobabhinge_gateway.orders.resend_limiter import ResendLimiter
from baobabhinge_platform.machines import Fencing, Vm

PREVIOUS_HOLDER_WAIT = ORDER_TIMEOUT * 2

log = structlog.get_logger(__name__)


class OrderSender:
    """Send orders only while the lease is held.

    The lease is checked right before each order. Engines that ignore fencing
    numbers get no orders for `PREVIOUS_HOLDER_WAIT` after a new lease: by then
    the orders of an earlier holder have arrived or timed out.

    Parameters
    ----------
    lease_client : LeaseClient
        Client of the lease of the region.
    client : EngineClient
        Client of the engines.
    clock : Clock
        Clock of the waits before an order may be sent.
    """

    __slots__ = (
        '_client',
        '_clock',
        '_deferred_until',
        '_fencing',
        '_lease_client',
        '_lease_start',
        '_resend_limiter',
    )

    def __init__(
        self,
        lease_client: LeaseClient,
        client: EngineClient,
        clock: Clock,
    ) -> None:
        """Start without a lease and without sent orders."""
        self._lease_client = lease_client
        self._client = client
        self._clock = clock
        self._fencing = 0
        self._lease_start = timedelta()
        self._resend_limiter = ResendLimiter(clock)
        self._deferred_until: dict[str, timedelta] = {}

    async def read_states(self, vms: Sequence[Vm]) -> list[EngineState]:
        """Return the states of the engines that answer; log the others."""
        states = await asyncio.gather(*[self._read_one(vm) for vm in vms])
        return [state for state in states if state is not None]

    async def send(self, planned: PlannedOrder) -> None:
        """Send one order unless its engine has to wait.

        Raises
        ------
        LeaseNotHeldError
            If the lease is not held.
        """
        lease = self._lease_client.require()
        if lease.fencing != self._fencing:
            self._fencing = lease.fencing
            self._lease_start = self._clock.read_monotonic()
        if self._has_to_wait(planned.vm):
            return
        order = EngineOrder(lease.fencing, planned.models)
        if self._resend_limiter.is_due(planned, order):
            await self._send_order(planned.vm, order)

    async def _send_order(self, vm: Vm, order: EngineOrder) -> None:
        try:
            await self._client.send(vm, order)
        except OrderError as error:
            self._record_failure(vm, error)

    async def _read_one(self, vm: Vm) -> EngineState | None:
        try:
            return await self._client.read_state(vm)
        except OrderError:
            log.info('engine-unread', engine=vm.name)
        return None

    def _has_to_wait(self, vm: Vm) -> bool:
        now = self._clock.read_monotonic()
        if now < self._deferred_until.get(vm.name, now):
            return True
        is_new_lease = now - self._lease_start < PREVIOUS_HOLDER_WAIT
        return vm.fencing is Fencing.ignore and is_new_lease

    def _record_failure(self, vm: Vm, error: OrderError) -> None:
        log.info('order-refused', engine=vm.name, reason=str(error))
        if isinstance(error, OrderDeferredError):
            now = self._clock.read_monotonic()
            self._deferred_until[vm.name] = now + error.retry_after
        if isinstance(error, StaleOrderError):
            self._lease_client.abandon()
