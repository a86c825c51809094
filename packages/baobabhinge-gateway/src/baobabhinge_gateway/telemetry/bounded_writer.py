"""Logs on standard output that are bounded and never block."""

import logging
import os
from collections.abc import Callable
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock, SystemClock
from baobabhinge_gateway.telemetry.crash_handler import CrashHandler
from baobabhinge_gateway.telemetry.logs import build_processors

# A call takes two or three lines; at 100 calls a second all are written.
MAX_LINES_PER_SECOND = 400
MAX_BURST_LINES = 800
STANDARD_OUTPUT = 1
LEVELS = frozenset(('debug', 'info', 'warning', 'error', 'critical'))


class BoundedWriter:
    """Write lines while they are few and the reader keeps up.

    Parameters
    ----------
    clock : Clock
        Clock of the rate.
    descriptor : int, optional
        File descriptor; it is set not to block.

    Attributes
    ----------
    dropped : int
        Lines that were not written.
    """

    __slots__ = ('_allowance', '_clock', '_descriptor', '_updated', 'dropped')

    def __init__(
        self,
        clock: Clock,
        descriptor: int = STANDARD_OUTPUT,
    ) -> None:
        """Set the descriptor not to block."""
        os.set_blocking(descriptor, False)
        self._clock = clock
        self._descriptor = descriptor
        self._allowance = float(MAX_BURST_LINES)
        self._updated = clock.read_monotonic()
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Write one line, or count it as dropped."""
        if not self._is_within_rate():
            self.dropped += 1
            return
        if self.dropped:
            line = (
                f'{line}\n{{"event": "lines-dropped", "count": {self.dropped}}}'
            )
        try:
            os.write(self._descriptor, f'{line}\n'.encode())
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0

    def __getattr__(self, level: str) -> Callable[[str], None]:
        """Return the writer of lines of one level; all are the same."""
        if level in LEVELS:
            return self.msg
        raise AttributeError(level)

    def _is_within_rate(self) -> bool:
        now = self._clock.read_monotonic()
        elapsed = (now - self._updated) / timedelta(seconds=1)
        self._updated = now
        grown = self._allowance + elapsed * MAX_LINES_PER_SECOND
        self._allowance = min(MAX_BURST_LINES, grown)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def set_up_bounded_logs(vm: str) -> None:
    """Write JSON lines that carry the name of this vm.

    Parameters
    ----------
    vm : str
        Name of the vm.
    """
    writer = BoundedWriter(SystemClock())
    structlog.configure(
        processors=build_processors(),
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
    logging.basicConfig(
        level=logging.WARNING,
        handlers=[CrashHandler()],
    )
