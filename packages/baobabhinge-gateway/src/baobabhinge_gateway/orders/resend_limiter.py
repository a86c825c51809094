"""Delays between equal orders to one engine."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.orders.messages import EngineOrder, PlannedOrder

INITIAL_RESEND_DELAY = timedelta(seconds=2)
MAX_RESEND_DELAY = timedelta(seconds=16)


class _SentOrder(msgspec.Struct):
    order: EngineOrder
    planned: PlannedOrder
    due: timedelta
    delay: timedelta = INITIAL_RESEND_DELAY


class ResendLimiter:
    """Growing delays between equal orders to one engine.

    How long a model takes to load depends on the weight store. The same order
    is therefore not resent each time that the engine is read, nor when the
    engine has carried out part of it. A different order is sent at once, and
    so is the same one to an engine that has lost a model of its order or
    loaded a model that is not in it.

    Parameters
    ----------
    clock : Clock
        Clock of the delays.
    """

    __slots__ = ('_clock', '_sent')

    def __init__(self, clock: Clock) -> None:
        """Start without sent orders."""
        self._clock = clock
        self._sent: dict[str, _SentOrder] = {}

    def is_due(self, planned: PlannedOrder, order: EngineOrder) -> bool:
        """Return whether to send ``order`` now; if so, record it as sent."""
        now = self._clock.read_monotonic()
        sent = self._sent.get(planned.vm.name)
        if sent is None or not _continues_order(sent, planned, order):
            sent = _SentOrder(order, planned, now)
            self._sent[planned.vm.name] = sent
        sent.planned = planned
        if now < sent.due:
            return False
        sent.due = now + sent.delay
        sent.delay = min(sent.delay * 2, MAX_RESEND_DELAY)
        return True


def _continues_order(
    sent: _SentOrder,
    planned: PlannedOrder,
    order: EngineOrder,
) -> bool:
    if (sent.order, sent.planned.vm) != (order, planned.vm):
        return False
    wanted = frozenset(order.models)
    lost = sent.planned.loaded - planned.loaded
    gained = planned.loaded - sent.planned.loaded
    return gained <= wanted and wanted.isdisjoint(lost)
