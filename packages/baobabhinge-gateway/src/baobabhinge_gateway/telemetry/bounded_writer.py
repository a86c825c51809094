"""Rate-limited logs on standard output that never block the process."""

import logging
import os
from collections.abc import Callable
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock, SystemClock
from baobabhinge_gateway.telemetry.crash_handler import CrashHandler
from baobabhinge_gateway.telemetry.logs import build_processors

# A call logs two or three lines, so nothing is dropped at 100 calls/s.
MAX_LINES_PER_SECOND = 400
MAX_BURST_LINES = 800
STANDARD_OUTPUT = 1
LEVELS = frozenset(('debug', 'info', 'warning', 'error', 'critical'))


class BoundedWriter:
    """Write log lines up to a bounded rate, and drop the others.

    Lines are also dropped when the descriptor is not writable, as when the
    reader of a pipe does not keep up.

    Parameters
    ----------
    clock : Clock
        Clock by which the rate is measured.
    descriptor : int, optional
        File descriptor to write to; it is set to non-blocking mode.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last line that was written.
    """

    __slots__ = ('_allowance', '_clock', '_descriptor', '_updated', 'dropped')

    def __init__(
        self,
        clock: Clock,
        descriptor: int = STANDARD_OUTPUT,
    ) -> None:
        """Make the descriptor non-blocking and allow a full burst."""
        os.set_blocking(descriptor, False)
        self._clock = clock
        self._descriptor = descriptor
        self._allowance = float(MAX_BURST_LINES)
        self._updated = clock.read_monotonic()
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Write a line, or count it as dropped.

        The first line written after drops is followed by their number.
        """
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
        """Return `msg` for the name of any log level."""
        if level in LEVELS:
            return self.msg
        raise AttributeError(level)

    def _is_within_rate(self) -> bool:
        now = self._clock.read_monotonic()
        elapsed = (now - self._updated) / timedelta(seconds=1)
        self._updated = now
        refilled = self._allowance + elapsed * MAX_LINES_PER_SECOND
        self._allowance = min(MAX_BURST_LINES, refilled)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def set_up_bounded_logs(vm: str) -> None:
    """Log JSON lines at a bounded rate to standard output.

    Parameters
    ----------
    vm : str
        Name of the vm, added to every line.
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
