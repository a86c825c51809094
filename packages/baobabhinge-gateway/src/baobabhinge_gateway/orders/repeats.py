"""When an order is given to an engine once more."""

from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.backoff import Backoff
from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.orders.messages import EngineOrder, PlannedOrder

FIRST_BOUND = timedelta(seconds=2)
LAST_BOUND = timedelta(seconds=16)


class _Given(msgspec.Struct):
    order: EngineOrder
    planned: PlannedOrder
    backoff: Backoff
    due: timedelta


class Repeats:
    """Growing pauses between equal orders to one engine.

    A load takes as long as the weight store lets it; the same order need not
    come each time that the engine is read. Another order, or a change of what
    the engine has loaded, is not held back.

    Parameters
    ----------
    clock : Clock
        Clock of the pauses.
    random : Random
        Jitter of the pauses.
    """

    __slots__ = ('_clock', '_given', '_random')

    def __init__(self, clock: Clock, random: Random) -> None:
        """Hold nothing back."""
        self._clock = clock
        self._random = random
        self._given: dict[str, _Given] = {}

    def is_due(self, planned: PlannedOrder, order: EngineOrder) -> bool:
        """Tell whether to give ``order`` now, and count it as given if so."""
        now = self._clock.read_monotonic()
        given = self._given.get(planned.vm.name)
        if given is None or (given.order, given.planned) != (order, planned):
            backoff = Backoff(self._random, FIRST_BOUND, LAST_BOUND)
            given = _Given(order, planned, backoff, now)
            self._given[planned.vm.name] = given
        if now < given.due:
            return False
        given.due = now + given.backoff.draw_pause()
        return True
