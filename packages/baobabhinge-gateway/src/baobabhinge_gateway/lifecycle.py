"""The life of this gateway process."""

import asyncio
import uuid
from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.clock import Clock, SystemClock
from baobabhinge_gateway.errors import DrainingError

IDLE_TIME_BEFORE_CLOSING = timedelta(seconds=1)
MAX_DRAIN_TIME = timedelta(seconds=8)
CHECK_INTERVAL = timedelta(milliseconds=100)

log = structlog.get_logger(__name__)


class Lifecycle:
    """Incarnation of the process, and whether it is leaving.

    Parameters
    ----------
    clock : Clock
        Clock of the arrivals.

    Attributes
    ----------
    incarnation : str
        Random identifier of this start; it never comes back.
    is_draining : bool
        Whether callers and peers are to use other gateways.
    is_closed : bool
        Whether new calls are refused.
    """

    __slots__ = (
        '_clock',
        '_last_call',
        'incarnation',
        'is_closed',
        'is_draining',
    )

    def __init__(self, clock: Clock) -> None:
        """Draw a new incarnation."""
        self.incarnation = uuid.uuid4().hex
        self.is_draining = False
        self.is_closed = False
        self._clock = clock
        self._last_call = clock.read_monotonic()

    def record_call(self) -> None:
        """Count a new call as a sign that callers still come.

        Raises
        ------
        DrainingError
            If no new calls are taken.
        """
        if self.is_closed:
            raise DrainingError('this gateway is leaving; use another entry')
        self._last_call = self._clock.read_monotonic()

    def measure_idle_time(self) -> timedelta:
        """Return the time since the newest call."""
        return self._clock.read_monotonic() - self._last_call


def create_lifecycle() -> Lifecycle:
    """Return the lifecycle of a process that starts now."""
    return Lifecycle(SystemClock())


class Drainer(Service):
    """Make callers move on before the listeners stop.

    Parameters
    ----------
    lifecycle : Lifecycle
        What the other parts ask.

    Notes
    -----
    New calls are served until none has come for a while, so that callers can
    follow the list of entries, and are refused from then on.
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        """Drain nothing yet."""
        super().__init__()
        self._lifecycle = lifecycle

    async def on_stop(self) -> None:
        """Announce the end, wait for quiet, refuse new calls."""
        self._lifecycle.is_draining = True
        self._lifecycle.record_call()
        log.info('draining')
        for _ in range(MAX_DRAIN_TIME // CHECK_INTERVAL):
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if self._lifecycle.measure_idle_time() > IDLE_TIME_BEFORE_CLOSING:
                break
        self._lifecycle.is_closed = True
        log.info('refusing-new-calls')
