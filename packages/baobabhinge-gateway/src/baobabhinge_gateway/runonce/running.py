"""Running the calls of own keys."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

import structlog
from mode import Service

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce import (
    OutcomeReason,
    Owner,
    OwnerAction,
    OwnerInstruction,
    RunOnceOutcome,
    build_unknown_outcome,
)
from baobabhinge_gateway.runonce.attempt import Attempt
from baobabhinge_gateway.runonce.recorder import Recorder
from baobabhinge_gateway.runonce.sending import RunOnceSender

RUNNING = build_unknown_outcome(OutcomeReason.running)
BROKEN = build_unknown_outcome(OutcomeReason.answer_lost)
NO_TIME = timedelta()

StepT = TypeVar('StepT')

log = structlog.get_logger(__name__)


class OwnerRunner(Service):
    """Run each key's call in a task of its own.

    A caller that goes away, or whose deadline passes, leaves the task alone.

    Parameters
    ----------
    owner : Owner
        Decisions.
    recorder : Recorder
        Way to the witnesses.
    sender : RunOnceSender
        Way to the backend servers.
    clock : Clock
        Clock of the deadlines.
    """

    def __init__(
        self,
        owner: Owner,
        recorder: Recorder,
        sender: RunOnceSender,
        clock: Clock,
    ) -> None:
        """Run nothing yet."""
        super().__init__()
        self._owner = owner
        self._recorder = recorder
        self._sender = sender
        self._clock = clock
        self._runs: dict[str, asyncio.Task[RunOnceOutcome]] = {}

    async def on_stop(self) -> None:
        """Wait for the calls that are running, and their copies."""
        await asyncio.gather(*self._runs.values())
        await self._recorder.finish()

    async def run(self, attempt: Attempt) -> RunOnceOutcome:
        """Return the outcome as known by the deadline of the attempt."""
        instruction = self._owner.begin(attempt.key, attempt.digest)
        if instruction.outcome is not None:
            return instruction.outcome
        if instruction.action is not OwnerAction.join:
            self._start(attempt, instruction)
        return await self._join(attempt)

    def _start(self, attempt: Attempt, instruction: OwnerInstruction) -> None:
        nonce = attempt.key.nonce
        run = asyncio.create_task(self._carry_out(attempt, instruction))
        self._runs[nonce] = run
        run.add_done_callback(lambda _: self._runs.pop(nonce))

    async def _join(self, attempt: Attempt) -> RunOnceOutcome:
        run = self._runs[attempt.key.nonce]
        rest = attempt.call.terms.deadline - self._clock.read_monotonic()
        await asyncio.wait((run,), timeout=max(rest, NO_TIME).total_seconds())
        return run.result() if run.done() else RUNNING

    async def _carry_out(
        self,
        attempt: Attempt,
        instruction: OwnerInstruction,
    ) -> RunOnceOutcome:
        key = attempt.key
        if instruction.action is OwnerAction.record:
            verdict = await _survive(
                self._recorder.record(key, attempt.digest),
                None,
            )
            instruction = self._owner.resolve_intent(key, verdict)
        if instruction.action is OwnerAction.dispatch:
            outcome = await _survive(self._sender.send(attempt.call), BROKEN)
            instruction = self._owner.record_outcome(key, outcome)
        outcome = instruction.outcome or BROKEN
        self._recorder.copy_later(key, outcome)
        return outcome


async def _survive(step: Awaitable[StepT], fallback: StepT) -> StepT:
    """Return what ``step`` returns, or ``fallback`` after any fault.

    A key whose run ended without an outcome would never be final.
    """
    try:
        return await step
    except Exception:
        log.exception('run-once-fault')
        return fallback
