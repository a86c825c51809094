"""The attempts of a call, until one is answered or none is left."""

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.attempt import Attempts, FailedAnswer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.choosing import Chooser
from baobabhinge_gateway.forwarding.limits import measure_left
from baobabhinge_gateway.forwarding.problems import (
    DeclinedError,
    ForwardingError,
    NotServedError,
    StreamBrokenError,
    TimeLimitError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.protocols import Responder
from baobabhinge_gateway.forwarding.retries import SharedRetryBudget
from baobabhinge_gateway.forwarding.targets import Target

# Attempts that provably did not run are repeated this often at most.
MAX_SENDS = 4

log = structlog.get_logger(__name__)


class Progress(msgspec.Struct):
    """What happened to a call so far.

    Parameters
    ----------
    sends : int
        Attempts that were made.
    tried : set of str
        Targets that are not tried again.
    answer : FailedAnswer or None
        A backend server's own failure, passed on if nothing better comes.
    """

    sends: int = 0
    tried: set[str] = msgspec.field(default_factory=set)
    answer: FailedAnswer | None = None


class Dispatcher:
    """Send calls until they are answered.

    Parameters
    ----------
    chooser : Chooser
        Choice of targets.
    attempts : Attempts
        Exchanges with them.
    budget : SharedRetryBudget
        Bound on repeats.
    clock : Clock
        Clock of the deadlines.
    """

    __slots__ = ('_attempts', '_budget', '_chooser', '_clock')

    def __init__(
        self,
        chooser: Chooser,
        attempts: Attempts,
        budget: SharedRetryBudget,
        clock: Clock,
    ) -> None:
        """Keep the parts."""
        self._chooser = chooser
        self._attempts = attempts
        self._budget = budget
        self._clock = clock

    async def serve(self, call: Call, responder: Responder) -> None:
        """Have ``call`` answered through ``responder``.

        Raises
        ------
        ForwardingError
            If it ends without a backend server's answer.
        """
        progress = Progress()
        self._budget.note_call(call.service)
        while True:
            try:
                target = self._choose(call, progress)
            except NotServedError as refusal:
                await self._give_up(call, progress, refusal, responder)
                return
            failure = await self._try(call, target, progress, responder)
            if failure is None:
                return
            if not self._may_repeat(call, progress, failure):
                await self._give_up(call, progress, failure, responder)
                return

    def _choose(self, call: Call, progress: Progress) -> Target:
        measure_left(call, self._clock)
        target = self._chooser.choose(call, progress.tried)
        log.info(
            'call-placed',
            attempt=call.head.attempt,
            target=target.name,
            region=target.region,
            wait_ms=_to_ms(target),
            sends=progress.sends,
        )
        return target

    async def _try(
        self,
        call: Call,
        target: Target,
        progress: Progress,
        responder: Responder,
    ) -> ForwardingError | None:
        progress.sends += 1
        try:
            failed = await self._attempts.run(call, target, responder)
        except NotReachedError:
            progress.tried.add(target.name)
            return DeclinedError(f'{target.name} could not be reached')
        except DeclinedError as declined:
            progress.tried.add(target.name)
            return declined
        except (
            UnknownOutcomeError,
            TimeLimitError,
            StreamBrokenError,
        ) as lost:
            progress.tried.add(target.name)
            return lost
        if failed is None:
            return None
        progress.tried.add(target.name)
        progress.answer = failed
        return UnknownOutcomeError('the backend server failed the call')

    def _may_repeat(
        self,
        call: Call,
        progress: Progress,
        failure: ForwardingError,
    ) -> bool:
        if isinstance(failure, TimeLimitError):
            return False
        has_run = not isinstance(failure, DeclinedError)
        if has_run and not _may_run_again(call):
            return False
        if progress.sends >= MAX_SENDS:
            return False
        return self._budget.take(call.service)

    async def _give_up(
        self,
        call: Call,
        progress: Progress,
        failure: ForwardingError,
        responder: Responder,
    ) -> None:
        answer = progress.answer
        if answer is not None and not responder.has_started:
            await responder.send_whole(
                answer.status,
                answer.headers,
                answer.body,
            )
            return
        if call.runs and isinstance(failure, NotServedError):
            raise UnknownOutcomeError(
                'an earlier attempt may have run',
            ) from failure
        raise failure


def _may_run_again(call: Call) -> bool:
    if call.runs >= call.attempts_left:
        return False
    return call.is_repeatable or call.route.kind.is_resumable


def _to_ms(target: Target) -> int | None:
    if target.prospect is None:
        return None
    return round(target.prospect.wait.total_seconds() * 1000)
