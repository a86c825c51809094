"""When an order is given to an engine once more."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.orders.messages import EngineOrder, PlannedOrder

INITIAL_RESEND_DELAY = timedelta(seconds=2)
MAX_RESEND_DELAY = timedelta(seconds=16)


class _Given(msgspec.Struct):
    order: EngineOrder
    planned: PlannedOrder
    due: timedelta
    pause: timedelta = INITIAL_RESEND_DELAY


class ResendLimiter:
    """Growing pauses between equal orders to one engine.

    A load takes as long as the weight store lets it; the same order need not
    come each time that the engine is read, nor when the engine has come
    nearer to what it was told. Another order, and an engine that has lost a
    model of its order or taken up a model outside it, are not held back.

    Parameters
    ----------
    clock : Clock
        Clock of the pauses.
    """

    __slots__ = ('_clock', '_given')

    def __init__(self, clock: Clock) -> None:
        """Hold nothing back."""
        self._clock = clock
        self._given: dict[str, _Given] = {}

    def is_due(self, planned: PlannedOrder, order: EngineOrder) -> bool:
        """Tell whether to give ``order`` now, and count it as given if so."""
        now = self._clock.read_monotonic()
        given = self._given.get(planned.vm.name)
        if given is None or not _continues(given, planned, order):
            given = _Given(order, planned, now)
            self._given[planned.vm.name] = given
        given.planned = planned
        if now < given.due:
            return False
        given.due = now + given.pause
        given.pause = min(given.pause * 2, MAX_RESEND_DELAY)
        return True


def _continues(
    given: _Given,
    planned: PlannedOrder,
    order: EngineOrder,
) -> bool:
    if (given.order, given.planned.vm) != (order, planned.vm):
        return False
    wanted = frozenset(order.models)
    lost = given.planned.loaded - planned.loaded
    gained = planned.loaded - given.planned.loaded
    return gained <= wanted and wanted.isdisjoint(lost)
