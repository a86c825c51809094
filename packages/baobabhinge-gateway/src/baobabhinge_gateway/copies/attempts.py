"""Attempts of one call that run at the same time."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta

import msgspec

from baobabhinge_gateway.copies.buffer import AnswerBuffer
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.delivery import FailedAnswer
from baobabhinge_gateway.forwarding.failures import DeclinedError
from baobabhinge_gateway.forwarding.senders import Senders
from baobabhinge_gateway.forwarding.targets import Target


class OpenAttempt(msgspec.Struct, frozen=True):
    """One attempt in progress.

    Parameters
    ----------
    call : Call
        The call; each attempt counts its own runs.
    target : Target
        Server of the attempt.
    buffer : AnswerBuffer
        Keeps its answer.
    task : asyncio.Task
        Returns what `ServerSender.send` does.
    """

    call: Call
    target: Target
    buffer: AnswerBuffer
    task: 'asyncio.Task[FailedAnswer | None]'

    async def wait(self, limit: timedelta) -> bool:
        """Wait for the end, up to ``limit``; return whether it has ended."""
        await asyncio.wait([self.task], timeout=limit.total_seconds())
        return self.task.done()

    @property
    def has_answer(self) -> bool:
        """Whether the attempt has ended with an answer to pass on."""
        is_over = self.task.done() and not self.task.cancelled()
        if not is_over or self.task.exception() is not None:
            return False
        return self.task.result() is None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the call."""
        return not isinstance(
            self.task.exception(), (NotReachedError, DeclinedError)
        )


def begin_attempt(senders: Senders, call: Call, target: Target) -> OpenAttempt:
    """Send ``call`` to ``target`` in a task of its own."""
    buffer = AnswerBuffer()
    sending = senders.send(call, target, buffer)
    return OpenAttempt(call, target, buffer, asyncio.create_task(sending))


@asynccontextmanager
async def cancel_open(attempts: Sequence[OpenAttempt]) -> AsyncIterator[None]:
    """Cancel the attempts that are in progress at the end of the context.

    Their connections are closed then.
    """
    try:
        yield
    finally:
        await _cancel_all([attempt.task for attempt in attempts])


async def wait_for_answer(
    attempts: Sequence[OpenAttempt],
) -> OpenAttempt | None:
    """Return the first attempt with an answer; ``None`` if all have failed."""
    pending = {attempt.task for attempt in attempts}
    while pending:
        _, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for attempt in attempts:
            if attempt.has_answer:
                return attempt
    return None


def choose_failure(attempts: Sequence[OpenAttempt]) -> OpenAttempt:
    """Return the failed attempt that says most.

    That is one with an error answer, else the first one that may have run.
    """
    for attempt in attempts:
        if attempt.task.exception() is None:
            return attempt
    may_have_run = [one for one in attempts if one.may_have_run]
    return (may_have_run or attempts)[0]


async def _cancel_all(
    tasks: Sequence['asyncio.Task[FailedAnswer | None]'],
) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
