"""Lifecycle of the gateway process: incarnation and draining."""

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
    """Incarnation of the process, and whether it is shutting down.

    Parameters
    ----------
    clock : Clock
        Clock of the time since the last call.

    Attributes
    ----------
    incarnation : str
        Random identifier, drawn anew at each start of the process.
    is_draining : bool
        Whether callers and peers should use other gateways.
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
        """Draw an incarnation and start accepting calls."""
        self.incarnation = uuid.uuid4().hex
        self.is_draining = False
        self.is_closed = False
        self._clock = clock
        self._last_call = clock.read_monotonic()

    def record_call(self) -> None:
        """Record the arrival of a new call.

        Raises
        ------
        DrainingError
            If new calls are no longer accepted.
        """
        if self.is_closed:
            raise DrainingError('this gateway is leaving; use another entry')
        self._last_call = self._clock.read_monotonic()

    def measure_idle_time(self) -> timedelta:
        """Return the time since the last call, or since the start."""
        return self._clock.read_monotonic() - self._last_call


def create_lifecycle() -> Lifecycle:
    """Return the lifecycle of a process that starts now."""
    return Lifecycle(SystemClock())


class Drainer(Service):
    """Drain the gateway before its listeners stop.

    Parameters
    ----------
    lifecycle : Lifecycle
        Lifecycle in which the stages of draining are set.

    Notes
    -----
    The list of entries leaves out a draining gateway. So that callers have
    time to follow the list, new calls are served until none has arrived for
    `IDLE_TIME_BEFORE_CLOSING`, at most for `MAX_DRAIN_TIME`, and are then
    refused.
    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        """Store the lifecycle; draining begins in `on_stop`."""
        super().__init__()
        self._lifecycle = lifecycle

    async def on_stop(self) -> None:
        """Announce the shutdown, wait for idleness, then refuse calls."""
        self._lifecycle.is_draining = True
        self._lifecycle.record_call()
        log.info('draining')
        for _ in range(MAX_DRAIN_TIME // CHECK_INTERVAL):
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if self._lifecycle.measure_idle_time() > IDLE_TIME_BEFORE_CLOSING:
                break
        self._lifecycle.is_closed = True
        log.info('refusing-new-calls')
