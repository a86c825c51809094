"""Time in which the event loop works rather than waits.

The processor clock of a process is of no use for this: platforms that grant
processor time in other ways than the kernel may show the steady clock in its
place. An event loop that works for longer than calls can wait is behind,
however fast its processor is.
"""

import asyncio
import selectors
from collections.abc import Callable
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import BootClock, Clock
from baobabhinge_gateway.connections.loop_delay import (
    LoopDelay,
    measure_overrun,
)

BusyClock = Callable[[], timedelta]


class MeteredSelector(selectors.DefaultSelector):
    """Selector that measures for how long its event loop waits.

    Parameters
    ----------
    clock : Clock
        Clock of the waits.

    Attributes
    ----------
    delay : LoopDelay
        Durations of the latest runs of the loop.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without waits."""
        super().__init__()
        self.delay = LoopDelay()
        self._clock = clock
        self._start = clock.read_monotonic()
        self._waited = timedelta()
        self._polled = self._start

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait as the base class does, and add the time to that waited."""
        begun = self._clock.read_monotonic()
        try:
            return super().select(timeout)
        finally:
            self._record_poll(begun, timeout)

    def read_busy_time(self) -> timedelta:
        """Return the time in which the loop has not waited."""
        return self._clock.read_monotonic() - self._start - self._waited

    def _record_poll(self, begun: timedelta, timeout: float | None) -> None:
        ended = self._clock.read_monotonic()
        waited = ended - begun
        self._waited += waited
        worked = begun - self._polled
        self.delay.record_run(worked + measure_overrun(waited, timeout))
        self._polled = ended


class MeteredLoop(msgspec.Struct, frozen=True):
    """Event loop, and what is measured of it.

    Parameters
    ----------
    loop : AbstractEventLoop
        The loop.
    read_busy : callable
        Returns the time in which it has worked.
    delay : LoopDelay
        Durations of its latest runs.
    """

    loop: asyncio.AbstractEventLoop
    read_busy: BusyClock
    delay: LoopDelay


def create_metered_loop() -> MeteredLoop:
    """Return an event loop whose busy time and delay are measured."""
    selector = MeteredSelector(BootClock())
    return MeteredLoop(
        asyncio.SelectorEventLoop(selector),
        selector.read_busy_time,
        selector.delay,
    )
