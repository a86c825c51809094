"""Ending a command in good order when it is told to stop."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

ReturnedT = TypeVar('ReturnedT')


async def _run(work: Coroutine[Any, Any, ReturnedT]) -> ReturnedT:
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await task


def run_until_stopped(
    work: Coroutine[Any, Any, ReturnedT],
) -> ReturnedT | None:
    """Run ``work``; on SIGINT or SIGTERM cancel it and return ``None``.

    Its context managers clean up before this returns; a second signal has
    no more effect than the first.
    """
    try:
        return asyncio.run(_run(work))
    except asyncio.CancelledError:
        return None
