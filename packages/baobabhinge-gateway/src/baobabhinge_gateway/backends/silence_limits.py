"""Limits on the time for which a backend server may send nothing."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from datetime import timedelta
from typing import TypeVar

import msgspec

from baobabhinge_gateway.backends.silence_timer import SilenceTimer
from baobabhinge_gateway.errors import AnswerBrokenError

StepT = TypeVar('StepT')


class SilenceLimits(msgspec.Struct, frozen=True):
    """Longest waits for a backend server in one attempt.

    Parameters
    ----------
    first : timedelta
        Until the headers, and from them to the first chunk of the body.
    between : timedelta
        Between two chunks of the body.
    """

    first: timedelta
    between: timedelta


async def limit_silence(
    chunks: AsyncIterator[bytes],
    limits: SilenceLimits,
) -> AsyncIterator[bytes]:
    """Yield the chunks as long as each arrives within its limit.

    Raises
    ------
    AnswerBrokenError
        If the next chunk does not arrive in time.
    """
    timer = SilenceTimer(limits.between)
    chunk = await wait_within(anext(chunks, None), limits.first)
    try:
        while chunk is not None:
            yield chunk
            chunk = await timer.wait(anext(chunks, None))
    finally:
        timer.stop()


async def wait_within(step: Awaitable[StepT], limit: timedelta) -> StepT:
    """Return what ``step`` returns.

    Raises
    ------
    AnswerBrokenError
        If it takes longer than ``limit``.
    """
    try:
        async with asyncio.timeout(limit.total_seconds()):
            return await step
    except TimeoutError as late:
        raise AnswerBrokenError(
            'the backend server sent nothing within the timeout'
        ) from late
