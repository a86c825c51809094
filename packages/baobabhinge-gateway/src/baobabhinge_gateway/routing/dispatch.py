"""Trying candidates until one answers."""

from collections.abc import AsyncIterator, Iterator, Sequence
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
from baobabhinge_gateway.routing.decisions import Candidate
from baobabhinge_gateway.routing.outbound import build_outbound
from baobabhinge_gateway.routing.tracking import TargetTracker

ZERO_DURATION = timedelta()


class CandidateDispatcher:
    """Send calls to candidates over one client session.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    clock : Clock
        Clock of the deadlines.
    tracker : TargetTracker
        Bookkeeping by target.
    """

    __slots__ = ('_clock', '_http', '_tracker')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        clock: Clock,
        tracker: TargetTracker,
    ) -> None:
        """Keep the parts."""
        self._http = http
        self._clock = clock
        self._tracker = tracker

    @asynccontextmanager
    async def open_answer(
        self,
        call: Call,
        candidates: Sequence[Candidate],
        *,
        is_repeat: bool = False,
    ) -> AsyncIterator[Answer]:
        """Yield the answer of the first candidate that could be reached.

        Parameters
        ----------
        call : Call
            The call.
        candidates : sequence of Candidate
            Targets in the order in which they are tried.
        is_repeat : bool, optional
            Whether an earlier attempt of the call has failed.

        Raises
        ------
        NoBackendServerError
            If no candidate could be reached; the call was not run.
        DeadlinePassedError
            If the deadline passed before a candidate was reached.
        OutcomeUnknownError
            If a candidate was reached and its answer broke.
        """
        async with AsyncExitStack() as stack:
            stack.enter_context(self._tracker.open_calls.track(call))
            outbounds = self._list_outbounds(call, candidates, is_repeat)
            yield await self._reach_first(stack, outbounds)

    async def _reach_first(
        self,
        stack: AsyncExitStack,
        outbounds: Iterator[tuple[Candidate, Outbound]],
    ) -> Answer:
        for candidate, outbound in outbounds:
            with suppress(NotReachedError):
                return await self._reach(stack, candidate, outbound)
        raise NoBackendServerError('no backend server could be reached')

    def _list_outbounds(
        self,
        call: Call,
        candidates: Sequence[Candidate],
        is_repeat: bool,
    ) -> Iterator[tuple[Candidate, Outbound]]:
        for candidate in candidates:
            yield (
                candidate,
                build_outbound(
                    call,
                    candidate.target,
                    self._measure_rest(call),
                    is_repeat=is_repeat,
                ),
            )

    def _measure_rest(self, call: Call) -> timedelta:
        rest = call.terms.deadline - self._clock.read_monotonic()
        if rest <= ZERO_DURATION:
            raise DeadlinePassedError('the deadline passed before the run')
        return rest

    async def _reach(
        self,
        stack: AsyncExitStack,
        candidate: Candidate,
        outbound: Outbound,
    ) -> Answer:
        attempt = AsyncExitStack()
        timer = attempt.enter_context(self._tracker.track(candidate, outbound))
        exchange = open_exchange(self._http, outbound)
        async with attempt:
            answer = await attempt.enter_async_context(exchange)
            answer.pieces = timer.observe(answer.pieces)
            stack.push_async_exit(attempt.pop_all())
        return answer
