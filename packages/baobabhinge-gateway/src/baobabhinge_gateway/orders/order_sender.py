"""Giving orders under a lease."""

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
    """Give orders while the lease is held, and only then.

    The lease is checked right before each order. Engines that ignore fencing
    numbers get none until the orders of an earlier holder have arrived or
    timed out.

    Parameters
    ----------
    lease_client : LeaseClient
        The lease of the region.
    client : EngineClient
        The way to the engines.
    clock : Clock
        Clock of the waits.
    """

    __slots__ = (
        '_client',
        '_clock',
        '_deferred',
        '_fencing',
        '_lease_client',
        '_resend_limiter',
        '_since',
    )

    def __init__(
        self,
        lease_client: LeaseClient,
        client: EngineClient,
        clock: Clock,
    ) -> None:
        """Give none yet."""
        self._lease_client = lease_client
        self._client = client
        self._clock = clock
        self._fencing = 0
        self._since = timedelta()
        self._resend_limiter = ResendLimiter(clock)
        self._deferred: dict[str, timedelta] = {}

    async def read_states(self, vms: Sequence[Vm]) -> list[EngineState]:
        """Return the states of the engines that could be read."""
        states = await asyncio.gather(*[self._read(vm) for vm in vms])
        return [state for state in states if state is not None]

    async def send(self, planned: PlannedOrder) -> None:
        """Give one order unless its engine has to wait.

        Raises
        ------
        LeaseNotHeldError
            If the lease is not held.
        """
        lease = self._lease_client.require()
        if lease.fencing != self._fencing:
            self._fencing = lease.fencing
            self._since = self._clock.read_monotonic()
        if self._has_to_wait(planned.vm):
            return
        order = EngineOrder(lease.fencing, planned.models)
        if self._resend_limiter.is_due(planned, order):
            await self._send(planned.vm, order)

    async def _send(self, vm: Vm, order: EngineOrder) -> None:
        try:
            await self._client.send(vm, order)
        except OrderError as refused:
            self._note_refusal(vm, refused)

    async def _read(self, vm: Vm) -> EngineState | None:
        try:
            return await self._client.read_state(vm)
        except OrderError:
            log.info('engine-unread', engine=vm.name)
        return None

    def _has_to_wait(self, vm: Vm) -> bool:
        now = self._clock.read_monotonic()
        if now < self._deferred.get(vm.name, now):
            return True
        is_quiet = now - self._since < PREVIOUS_HOLDER_WAIT
        return vm.fencing is Fencing.ignore and is_quiet

    def _note_refusal(self, vm: Vm, refused: OrderError) -> None:
        log.info('order-refused', engine=vm.name, reason=str(refused))
        if isinstance(refused, OrderDeferredError):
            now = self._clock.read_monotonic()
            self._deferred[vm.name] = now + refused.retry_after
        if isinstance(refused, StaleOrderError):
            self._lease_client.abandon()
