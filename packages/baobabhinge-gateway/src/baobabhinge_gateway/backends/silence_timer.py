"""Limit on each of many waits, with one timer for all of them."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

from baobabhinge_gateway.errors import AnswerBrokenError

StepT = TypeVar('StepT')


class SilenceTimer:
    """Limit the waits of one task, one wait at a time.

    Setting and cancelling a timer for each wait is avoided: when the timer
    fires, it checks how long the current wait has lasted, and is set again for
    the rest of that wait.

    Parameters
    ----------
    limit : timedelta
        Longest duration of one wait; time between waits does not count.
    """

    __slots__ = (
        '_cancelling',
        '_expired',
        '_limit',
        '_loop',
        '_task',
        '_timer',
        '_wait_start',
    )

    def __init__(self, limit: timedelta) -> None:
        """Start without a timer; requires a running event loop."""
        self._limit = limit.total_seconds()
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[object] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wait_start: float | None = None
        self._cancelling = 0
        self._expired = False

    async def wait(self, step: Awaitable[StepT]) -> StepT:
        """Return what ``step`` returns.

        Raises
        ------
        AnswerBrokenError
            If it takes longer than the limit.
        """
        self._start_wait()
        try:
            return await step
        except asyncio.CancelledError as cancelled:
            self._raise_if_expired(cancelled)
            raise
        finally:
            self._wait_start = None

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_wait(self) -> None:
        self._wait_start = self._loop.time()
        self._task = asyncio.current_task()
        if self._task is not None:
            self._cancelling = self._task.cancelling()
        if self._timer is None:
            self._set_timer(self._wait_start)

    def _set_timer(self, start: float) -> None:
        self._timer = self._loop.call_at(start + self._limit, self._check_wait)

    def _check_wait(self) -> None:
        self._timer = None
        start = self._wait_start
        if start is None or self._task is None:
            return
        if self._loop.time() < start + self._limit:
            self._set_timer(start)
            return
        self._expired = True
        self._task.cancel()

    def _raise_if_expired(self, cancelled: asyncio.CancelledError) -> None:
        """Raise the error if the timer alone cancelled the task.

        A cancellation by anyone else is left for the caller to raise.
        """
        if self._expired and self._task is not None:
            self._expired = False
            if self._task.uncancel() <= self._cancelling:
                timed_out = AnswerBrokenError(
                    'the backend server sent nothing within the timeout'
                )
                raise timed_out from cancelled
