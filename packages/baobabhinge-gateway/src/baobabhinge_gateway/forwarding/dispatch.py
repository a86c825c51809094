"""Attempts of a call, until one is answered or no more are allowed."""

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.copies.sender import CopySender
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.call_limits import compute_time_left
from baobabhinge_gateway.forwarding.failures import (
    AttemptError,
    DeclinedError,
    NotServedError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.progress import (
    Progress,
    is_final,
    raise_failure,
    record_failure,
)
from baobabhinge_gateway.forwarding.protocols import Responder
from baobabhinge_gateway.forwarding.retry_budget import SharedRetryBudget
from baobabhinge_gateway.forwarding.target_selection import TargetSelector
from baobabhinge_gateway.forwarding.targets import Target

# Upper bound of the attempts of a call, including those that provably did not
# run, which the limit of runs does not count.
MAX_SENDS = 4

log = structlog.get_logger(__name__)


class Dispatcher:
    """Send calls to one target after another until they are answered.

    Parameters
    ----------
    selector : TargetSelector
        Chooses the target of each attempt.
    senders : CopySender
        Sends to targets, and copies of slow calls to a second server.
    budget : SharedRetryBudget
        Bound on retries.
    clock : Clock
        Monotonic clock of the deadlines.
    """

    __slots__ = ('_budget', '_clock', '_selector', '_senders')

    def __init__(
        self,
        selector: TargetSelector,
        senders: CopySender,
        budget: SharedRetryBudget,
        clock: Clock,
    ) -> None:
        """Store the collaborators."""
        self._selector = selector
        self._senders = senders
        self._budget = budget
        self._clock = clock

    async def serve(self, call: Call, responder: Responder) -> None:
        """Answer ``call`` through ``responder``.

        Raises
        ------
        ForwardingError
            If the call ends without an answer of a backend server.
        """
        progress = Progress()
        self._budget.record_call(call.service)
        try:
            is_answered = await self._run_attempts(call, progress, responder)
        except NotServedError as refusal:
            is_answered = False
            # The failure of an attempt says more than the lack of a target.
            progress.failure = progress.failure or refusal
        if is_answered:
            return
        answer = progress.answer
        if answer is None or responder.has_started:
            raise_failure(call, progress)
        await responder.send_complete(
            answer.status, answer.headers, answer.body
        )

    async def _run_attempts(
        self,
        call: Call,
        progress: Progress,
        responder: Responder,
    ) -> bool:
        while not progress.sends or self._may_retry(call, progress):
            target = self._choose(call, progress)
            progress.sends += 1
            progress.tried.update(target.list_tried())
            if await self._run_attempt(call, target, progress, responder):
                return True
        return False

    def _choose(self, call: Call, progress: Progress) -> Target:
        call.caller.check()
        compute_time_left(call, self._clock)
        call.confirm(call)
        target = self._selector.choose(call, progress.tried)
        log.info(
            'call-placed',
            attempt=call.head.attempt,
            target=target.name,
            region=target.region,
            software=target.software,
            resumes=call.head.resumes,
            wait_ms=target.wait_ms,
            in_flight=target.calls,
            sends=progress.sends,
        )
        return target

    async def _run_attempt(
        self,
        call: Call,
        target: Target,
        progress: Progress,
        responder: Responder,
    ) -> bool:
        progress.is_reached = True
        try:
            failed = await self._senders.send(call, target, progress, responder)
        except NotReachedError:
            progress.is_reached = False
            progress.failure = DeclinedError(
                f'{target.name} could not be reached'
            )
            return False
        except AttemptError as failure:
            record_failure(progress, failure, target.list_tried())
            return False
        if failed is not None:
            progress.answer = failed
            progress.failure = UnknownOutcomeError(
                'the backend server answered with an error'
            )
        return failed is None

    def _may_retry(self, call: Call, progress: Progress) -> bool:
        if progress.sends >= MAX_SENDS:
            return False
        if is_final(progress.failure):
            return False
        if not progress.is_reached:
            # The service has not received the call, so this is no retry to it.
            return True
        may_have_run = not isinstance(progress.failure, DeclinedError)
        if may_have_run and not call.may_run_again:
            return False
        return self._budget.try_acquire(call.service)
