"""Execution of calls that may be repeated on another target."""

from contextlib import AsyncExitStack

from aiohttp import web

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.execution.attempts import Attempts
from baobabhinge_gateway.execution.exchanges import (
    check_refusal,
    compute_timeouts,
    open_with_timeouts,
)
from baobabhinge_gateway.execution.relay import (
    BufferedRelay,
    EventStreamRelay,
    Relay,
)
from baobabhinge_gateway.routing import Candidate, CandidateDispatcher, Router
from baobabhinge_gateway.suspects import Isolation


class RepeatableExecutor:
    """Send a call to its ranked targets until one answers completely.

    Parameters
    ----------
    router : Router
        Ranks the targets of a call.
    dispatcher : CandidateDispatcher
        Sends calls to targets.
    budget : RetryBudget
        Limit on retries.
    clock : Clock
        Clock by which deadlines are measured.
    isolation : Isolation
        Separates calls that may have crashed an engine from other calls.
    """

    __slots__ = ('_budget', '_clock', '_dispatcher', '_isolation', '_router')

    def __init__(
        self,
        router: Router,
        dispatcher: CandidateDispatcher,
        budget: RetryBudget,
        clock: Clock,
        isolation: Isolation,
    ) -> None:
        """Store the collaborators, which all attempts share."""
        self._router = router
        self._dispatcher = dispatcher
        self._budget = budget
        self._clock = clock
        self._isolation = isolation

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` and return the response to ``request``.

        Raises
        ------
        CallError
            If no attempt succeeds before the response has started.
        AnswerCutError
            If the response has started and cannot be continued.
        """
        relay = _create_relay(request, call)
        attempts = Attempts(
            call,
            self._router,
            self._budget,
            self._isolation,
        )
        response = None
        while response is None:
            candidate = await _choose_candidate(attempts, relay)
            response = await self._try_candidate(attempts, relay, candidate)
        return response

    async def _try_candidate(
        self,
        attempts: Attempts,
        relay: Relay,
        candidate: Candidate,
    ) -> web.StreamResponse | None:
        try:
            return await self._relay_answer(attempts, relay, candidate)
        except CallError as failure:
            attempts.record_failure(candidate.target, failure)
        return None

    async def _relay_answer(
        self,
        attempts: Attempts,
        relay: Relay,
        candidate: Candidate,
    ) -> web.StreamResponse:
        call = relay.prepare_call(attempts.call)
        time_left = call.terms.deadline - self._clock.read_monotonic()
        timeouts = compute_timeouts(call, candidate.target, time_left)
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(
                self._isolation.guard(call, candidate, time_left),
            )
            answer = await open_with_timeouts(
                stack,
                self._dispatcher.open_answer(
                    call,
                    (candidate,),
                    is_retry=attempts.failures.count > 0,
                ),
                timeouts,
            )
            await check_refusal(call, answer, candidate.target)
            return await relay.deliver(answer)


def _create_relay(request: web.Request, call: Call) -> Relay:
    if call.streamed:
        return EventStreamRelay(request, call)
    return BufferedRelay(call)


async def _choose_candidate(
    attempts: Attempts,
    relay: Relay,
) -> Candidate:
    try:
        return attempts.choose_candidate()
    except CallError as failure:
        await relay.report_failure(failure)
        raise
