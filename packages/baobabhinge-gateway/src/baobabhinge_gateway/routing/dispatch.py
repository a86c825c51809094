"""Dispatch of a call to the first candidate that can be reached."""

from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from datetime import timedelta

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.backends import (
    ExchangeAnswer,
    ExchangeRequest,
    open_exchange,
)
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
    """Send calls to their candidates over one client session.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the requests; it is closed by its owner.
    clock : Clock
        Clock of the deadlines.
    tracker : TargetTracker
        Counts, circuit breakers and observed times of the targets.
    """

    __slots__ = ('_clock', '_http', '_tracker')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        clock: Clock,
        tracker: TargetTracker,
    ) -> None:
        """Store the collaborators."""
        self._http = http
        self._clock = clock
        self._tracker = tracker

    @asynccontextmanager
    async def open_answer(
        self,
        call: Call,
        candidates: Sequence[Candidate],
        *,
        is_retry: bool = False,
    ) -> AsyncIterator[ExchangeAnswer]:
        """Yield the answer of the first candidate that can be reached.

        Parameters
        ----------
        call : Call
            Call to send.
        candidates : sequence of Candidate
            Candidates in the order in which they are tried.
        is_retry : bool, optional
            Whether an earlier attempt of the call has failed.

        Raises
        ------
        NoBackendServerError
            If no candidate can be reached; the call was not run.
        DeadlinePassedError
            If the deadline passes before a candidate is reached.
        OutcomeUnknownError
            If a candidate was reached and its answer is incomplete.
        """
        async with AsyncExitStack() as stack:
            stack.enter_context(self._tracker.workspace_calls.track(call))
            outbounds = self._list_outbounds(call, candidates, is_retry)
            yield await self._open_first(stack, outbounds)

    async def _open_first(
        self,
        stack: AsyncExitStack,
        outbounds: Iterator[tuple[Candidate, ExchangeRequest]],
    ) -> ExchangeAnswer:
        for candidate, outbound in outbounds:
            with suppress(NotReachedError):
                return await self._open_exchange(stack, candidate, outbound)
        raise NoBackendServerError('no backend server could be reached')

    def _list_outbounds(
        self,
        call: Call,
        candidates: Sequence[Candidate],
        is_retry: bool,
    ) -> Iterator[tuple[Candidate, ExchangeRequest]]:
        for candidate in candidates:
            yield (
                candidate,
                build_outbound(
                    call,
                    candidate.target,
                    self._compute_time_left(call),
                    is_retry=is_retry,
                ),
            )

    def _compute_time_left(self, call: Call) -> timedelta:
        time_left = call.terms.deadline - self._clock.read_monotonic()
        if time_left <= ZERO_DURATION:
            raise DeadlinePassedError(
                'the deadline passed before the call was sent'
            )
        return time_left

    async def _open_exchange(
        self,
        stack: AsyncExitStack,
        candidate: Candidate,
        outbound: ExchangeRequest,
    ) -> ExchangeAnswer:
        attempt = AsyncExitStack()
        timer = attempt.enter_context(self._tracker.track(candidate, outbound))
        exchange = open_exchange(self._http, outbound)
        async with attempt:
            answer = await attempt.enter_async_context(exchange)
            answer.chunks = timer.observe(answer.chunks)
            stack.push_async_exit(attempt.pop_all())
        return answer
