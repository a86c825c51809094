"""Execution of the calls whose keys this gateway owns."""

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
from baobabhinge_gateway.runonce.attempt import RunOnceAttempt
from baobabhinge_gateway.runonce.sender import RunOnceSender
from baobabhinge_gateway.runonce.witness_recorder import WitnessRecorder

RUNNING_OUTCOME = build_unknown_outcome(OutcomeReason.running)
ANSWER_LOST_OUTCOME = build_unknown_outcome(OutcomeReason.answer_lost)
ZERO_DURATION = timedelta()

StepT = TypeVar('StepT')

log = structlog.get_logger(__name__)


class OwnerRunner(Service):
    """Run the call of each key in a task of its own.

    The task goes on when the caller disconnects or its deadline passes.

    Parameters
    ----------
    owner : Owner
        Decides what to do with each key.
    recorder : WitnessRecorder
        Reports to the witnesses.
    sender : RunOnceSender
        Sends calls to the backend servers.
    clock : Clock
        Clock of the deadlines of calls.
    """

    def __init__(
        self,
        owner: Owner,
        recorder: WitnessRecorder,
        sender: RunOnceSender,
        clock: Clock,
    ) -> None:
        """Start without tasks."""
        super().__init__()
        self._owner = owner
        self._recorder = recorder
        self._sender = sender
        self._clock = clock
        self._runs: dict[str, asyncio.Task[RunOnceOutcome]] = {}

    async def on_stop(self) -> None:
        """Wait for the running calls, then for the copies to witnesses."""
        await asyncio.gather(*self._runs.values())
        await self._recorder.finish()

    async def run(self, attempt: RunOnceAttempt) -> RunOnceOutcome:
        """Run the call, or join its task, until the deadline of ``attempt``.

        Returns
        -------
        RunOnceOutcome
            ``unknown`` with the reason ``running`` if the call has not ended.
        """
        instruction = self._owner.begin(attempt.key, attempt.digest)
        if instruction.outcome is not None:
            return instruction.outcome
        if instruction.action is not OwnerAction.join:
            self._start(attempt, instruction)
        return await self._join(attempt)

    def _start(
        self, attempt: RunOnceAttempt, instruction: OwnerInstruction
    ) -> None:
        nonce = attempt.key.nonce
        task = asyncio.create_task(self._execute(attempt, instruction))
        self._runs[nonce] = task
        task.add_done_callback(lambda _: self._runs.pop(nonce))

    async def _join(self, attempt: RunOnceAttempt) -> RunOnceOutcome:
        task = self._runs[attempt.key.nonce]
        time_left = attempt.call.terms.deadline - self._clock.read_monotonic()
        await asyncio.wait(
            (task,), timeout=max(time_left, ZERO_DURATION).total_seconds()
        )
        return task.result() if task.done() else RUNNING_OUTCOME

    async def _execute(
        self,
        attempt: RunOnceAttempt,
        instruction: OwnerInstruction,
    ) -> RunOnceOutcome:
        key = attempt.key
        if instruction.action is OwnerAction.record:
            verdict = await _run_with_fallback(
                self._recorder.record(key, attempt.digest),
                None,
            )
            instruction = self._owner.resolve_intent(key, verdict)
        if instruction.action is OwnerAction.dispatch:
            outcome = await _run_with_fallback(
                self._sender.send(attempt.call), ANSWER_LOST_OUTCOME
            )
            instruction = self._owner.record_outcome(key, outcome)
        outcome = instruction.outcome or ANSWER_LOST_OUTCOME
        self._recorder.copy_later(key, outcome)
        return outcome


async def _run_with_fallback(step: Awaitable[StepT], fallback: StepT) -> StepT:
    """Return what ``step`` returns, or ``fallback`` if it raises.

    Every run has to end with an outcome: without one, its key would never
    become final.
    """
    try:
        return await step
    except Exception:
        log.exception('run-once-fault')
        return fallback
