"""Trying targets until one answers."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from datetime import timedelta

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.backends import Answer, Outbound, open_exchange
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import (
    DeadlinePassedError,
    NoBackendServerError,
    NotReachedError,
)
from baobabhinge_gateway.routing.counters import InFlight
from baobabhinge_gateway.routing.outbound import build_outbound
from baobabhinge_gateway.routing.targets import Target

NO_TIME = timedelta()


class Dispatcher:
    """Send calls to targets over one client session.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    clock : Clock
        Clock of the deadlines.
    in_flight : InFlight
        Calls open by vm.
    """

    __slots__ = ('_clock', '_http', '_in_flight')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        clock: Clock,
        in_flight: InFlight,
    ) -> None:
        """Keep the parts."""
        self._http = http
        self._clock = clock
        self._in_flight = in_flight

    @asynccontextmanager
    async def open_answer(
        self,
        call: Call,
        targets: Sequence[Target],
    ) -> AsyncIterator[Answer]:
        """Yield the answer of the first target that could be reached.

        Raises
        ------
        NoBackendServerError
            If no target could be reached; the call was not run.
        DeadlinePassedError
            If the deadline passed before a target was reached.
        OutcomeUnknownError
            If a target was reached and its answer broke.
        """
        async with AsyncExitStack() as stack:
            yield await self._reach_first(stack, call, targets)

    async def _reach_first(
        self,
        stack: AsyncExitStack,
        call: Call,
        targets: Sequence[Target],
    ) -> Answer:
        for target in targets:
            outbound = build_outbound(call, target, self._measure_rest(call))
            with suppress(NotReachedError):
                return await self._reach(stack, target, outbound)
        raise NoBackendServerError('no backend server could be reached')

    def _measure_rest(self, call: Call) -> timedelta:
        rest = call.terms.deadline - self._clock.read_monotonic()
        if rest <= NO_TIME:
            raise DeadlinePassedError('the deadline passed before the run')
        return rest

    async def _reach(
        self,
        stack: AsyncExitStack,
        target: Target,
        outbound: Outbound,
    ) -> Answer:
        attempt = AsyncExitStack()
        attempt.enter_context(self._in_flight.track(target.vm.name))
        exchange = open_exchange(self._http, outbound)
        async with attempt:
            answer = await attempt.enter_async_context(exchange)
            stack.push_async_exit(attempt.pop_all())
        return answer
