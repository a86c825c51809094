"""Event loop whose time advances only when nothing is left to do."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from datetime import datetime, timedelta
from typing import Any

from baobabhinge_coordination.clock.manual import EPOCH


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that advances a loop instead of waiting."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.elapsed = float(0)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now; the time to wait is skipped."""
        self.elapsed += max(0, timeout or 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for programs without real sockets."""

    def __init__(self) -> None:
        """Start at zero."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._skipping.elapsed


class LoopClock:
    """Clock of the running event loop."""

    __slots__ = ('_loop',)

    def __init__(self) -> None:
        """Read the loop that is running."""
        self._loop = asyncio.get_running_loop()

    def read_instant(self) -> datetime:
        """Return a fixed epoch plus the time of the loop."""
        return EPOCH + self.read_monotonic()

    def read_monotonic(self) -> timedelta:
        """Return the time of the loop."""
        return timedelta(seconds=self._loop.time())


def run_virtually(program: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time; return what it returns."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        loop.set_exception_handler(_raise_failure)
        return runner.run(program)


def _raise_failure(
    _: asyncio.AbstractEventLoop, context: Mapping[str, Any]
) -> None:
    failure = context.get('exception')
    if isinstance(failure, Exception):
        raise failure
