"""Sending of calls, with a second copy of those that are slow.

Load pattern: a few answers that take much longer than nearly all others, of
servers that are disturbed for a moment.
"""

from datetime import timedelta

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.copies.attempts import (
    OpenAttempt,
    begin_attempt,
    cancel_open,
    choose_failure,
    wait_for_answer,
)
from baobabhinge_gateway.copies.decisions import CopyDecisions
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.delivery import FailedAnswer
from baobabhinge_gateway.forwarding.progress import Progress
from baobabhinge_gateway.forwarding.protocols import Responder
from baobabhinge_gateway.forwarding.senders import Senders
from baobabhinge_gateway.forwarding.targets import Target

log = structlog.get_logger(__name__)


class CopySender:
    """Send calls to a target, and copies to a second server.

    Parameters
    ----------
    senders : Senders
        Senders by kind of target.
    decisions : CopyDecisions
        Decides when a copy is sent, and where.
    clock : Clock
        Clock of the attempts.
    """

    __slots__ = ('_clock', '_decisions', '_senders')

    def __init__(
        self, senders: Senders, decisions: CopyDecisions, clock: Clock
    ) -> None:
        """Store the collaborators."""
        self._senders = senders
        self._decisions = decisions
        self._clock = clock

    async def send(
        self,
        call: Call,
        target: Target,
        progress: Progress,
        responder: Responder,
    ) -> FailedAnswer | None:
        """Send ``call`` and pass its answer on; see `ServerSender.send`.

        Parameters
        ----------
        call : Call
            The call.
        target : Target
            Target of the first attempt.
        progress : Progress
            Gets the server of a copy as tried.
        responder : Responder
            Channel to the caller.
        """
        if not self._decisions.is_timed(call, target):
            return await self._senders.send(call, target, responder)
        begun = self._clock.read_monotonic()
        limit = None
        if self._decisions.may_copy(call, target):
            limit = self._decisions.begin(call)
        if limit is None:
            failed = await self._senders.send(call, target, responder)
            if failed is None:
                self._decisions.times.record(call.service, begun)
            return failed
        attempts = [begin_attempt(self._senders, call, target)]
        async with cancel_open(attempts):
            if not await attempts[0].wait(limit):
                self._begin_second(attempts, progress, limit)
            best = await wait_for_answer(attempts)
        _count_runs(attempts)
        if best is None:
            return choose_failure(attempts).task.result()
        self._decisions.times.record(call.service, begun)
        if best is not attempts[0]:
            self._decisions.metrics.count_won()
        await _pass_on(best, responder)
        return None

    def _begin_second(
        self,
        attempts: list[OpenAttempt],
        progress: Progress,
        limit: timedelta,
    ) -> None:
        call, first = attempts[0].call, attempts[0].target
        usual = first.estimate.wait if first.estimate else timedelta()
        target = self._decisions.choose_second(call, progress.tried, usual)
        if target is None:
            return
        progress.sends += 1
        progress.tried.update(target.list_tried())
        log.info(
            'second-copy-sent',
            attempt=call.head.attempt,
            first=first.name,
            target=target.name,
            after_ms=round(limit.total_seconds() * 1000),
        )
        # It counts its runs beside those of the first attempt.
        copied = msgspec.structs.replace(call, runs=0)
        attempts.append(begin_attempt(self._senders, copied, target))


def _count_runs(attempts: list[OpenAttempt]) -> None:
    """Add the runs of the copy to those of the call."""
    for copied in attempts[1:]:
        attempts[0].call.runs += copied.call.runs


async def _pass_on(best: OpenAttempt, responder: Responder) -> None:
    answer = best.buffer.answer
    if answer is not None:
        await responder.send_complete(
            answer.status, answer.headers, answer.body
        )
