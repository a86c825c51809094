"""Requests that are on their way, or run, while their gateway stops.

Load pattern: a gateway is replaced under load. Slow uploads become whole late
in the grace period, and calls run that outlast it. Callers can repeat what has
not run at another gateway, as long as they have time left.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from datetime import timedelta
from functools import partial

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import Route
from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.failures import (
    NotServedError,
    TimeLimitError,
)

# Fraction of the grace period in which new calls are accepted: after 2.4 s of
# 8 s most callers have resolved gateways again, as answers of the directory
# expire after 2 s. A stream that began later might not end in the grace period.
ACCEPTING_FRACTION = 0.3
# Fraction of the grace period after which open calls are answered that they
# were abandoned.
CALLS_FRACTION = 0.89
# Fraction of it after which the process ends.
OPEN_CALLS_FRACTION = 0.91
# Time that a call may need, in objectives of its route. That of a stream counts
# up to its first event.
NEEDED_OBJECTIVES = 2
NEEDED_STREAM_OBJECTIVES = 4


class StoppingError(NotServedError):
    """The gateway stops before the call could end; it did not run."""

    code = 'stopping'


class StopTimes(msgspec.Struct, frozen=True):
    """When a gateway that stops does what.

    Parameters
    ----------
    accepting : timedelta
        Time for which it accepts connections.
    latest : timedelta
        Monotonic time at which the process ends at the latest.
    """

    accepting: timedelta
    latest: timedelta


class StopSchedule:
    """Times by which requests have to be whole, and answers complete.

    Parameters
    ----------
    clock : Clock
        Clock of the times.
    """

    __slots__ = ('_clock', '_end', '_longest', '_open')

    def __init__(self, clock: Clock) -> None:
        """Start without an end."""
        self._clock = clock
        self._end: timedelta | None = None
        self._longest = timedelta()
        self._open: dict[asyncio.Timeout, timedelta] = {}

    def begin(self, grace: timedelta) -> StopTimes:
        """Record that the gateway stops; return when it does what.

        Parameters
        ----------
        grace : timedelta
            Time until the process is killed.
        """
        now = self._clock.read_monotonic()
        self._end = now + grace * CALLS_FRACTION
        # All calls are taken that arrive while the gateway accepts them.
        self._longest = grace * (CALLS_FRACTION - ACCEPTING_FRACTION)
        for bound, needed in self._open.items():
            _limit(bound, self._measure_left(needed))
        return StopTimes(
            grace * ACCEPTING_FRACTION, now + grace * OPEN_CALLS_FRACTION
        )

    def check(self, route: Route) -> None:
        """Raise an error if a call of a route can't be expected to end.

        Raises
        ------
        StoppingError
            If too little time is left.
        """
        left = self._measure_left(compute_needed_time(route))
        if left is not None and left < timedelta():
            raise StoppingError('this gateway stops; use another one')

    def bound_upload(self, route: Route) -> AbstractAsyncContextManager[None]:
        """End a request that is not whole in time for its call to end.

        The context raises a `StoppingError` if it was ended.
        """
        return self._bound(
            compute_needed_time(route),
            partial(StoppingError, 'this gateway stops before all has arrived'),
        )

    def bound_call(self, call: Call) -> AbstractAsyncContextManager[None]:
        """End a call that has no complete answer when the gateway has to end.

        The context raises a `TimeLimitError` if it was ended and may have run,
        and a `StoppingError` if it did not run.
        """
        return self._bound(timedelta(), partial(_describe_end, call))

    @asynccontextmanager
    async def _bound(
        self, needed: timedelta, describe: Callable[[], CallError]
    ) -> AsyncIterator[None]:
        bound = asyncio.timeout(None)
        self._open[bound] = needed
        try:
            async with bound:
                _limit(bound, self._measure_left(needed))
                yield
        except TimeoutError as ended:
            if not bound.expired():
                raise
            raise describe() from ended
        finally:
            self._open.pop(bound)

    def _measure_left(self, needed: timedelta) -> timedelta | None:
        """Return the time until a call that needs a while has to begin."""
        if self._end is None:
            return None
        now = self._clock.read_monotonic()
        return self._end - now - min(needed, self._longest)


def compute_needed_time(route: Route) -> timedelta:
    """Return the time after which calls of a route have mostly ended."""
    if route.kind.is_streamed:
        return NEEDED_STREAM_OBJECTIVES * route.objective
    return NEEDED_OBJECTIVES * route.objective


def _limit(bound: asyncio.Timeout, left: timedelta | None) -> None:
    if left is not None:
        now = asyncio.get_running_loop().time()
        bound.reschedule(now + left.total_seconds())


def _describe_end(call: Call) -> CallError:
    detail = 'this gateway had to stop before the answer was complete'
    return TimeLimitError(detail) if call.runs else StoppingError(detail)
