"""How far this process is behind, and which calls it admits."""

from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.overload.admission import AdmissionShare
from baobabhinge_gateway.overload.burst import BurstBound
from baobabhinge_gateway.overload.delays import DelayMeter
from baobabhinge_gateway.overload.free_capacity import compute_free
from baobabhinge_gateway.overload.metrics import OverloadMetrics
from baobabhinge_gateway.overload.ration import PriorityRation

MILLISECOND = timedelta(milliseconds=1)
NO_TIME = timedelta()
# Until a call has arrived.
DEFAULT_OBJECTIVE = timedelta(seconds=1)
# Share by which the shortest objective that was seen grows at a tick, so that
# it is forgotten within seconds.
OBJECTIVE_GROWTH = 1.02
# About half a second of ticks.
USE_SMOOTHING = 0.1

log = structlog.get_logger(__name__)


class ProcessLoad:
    """Decide which calls are admitted, by the delay of the event loop.

    Parameters
    ----------
    clock : Clock
        Clock of the delays.
    meter : DelayMeter
        Measures the delay.
    metrics : OverloadMetrics
        Shows the delay.

    Attributes
    ----------
    admission : AdmissionShare
        Share of the calls that is admitted.
    metrics : OverloadMetrics
        Metrics of the delay and of refusals.
    """

    __slots__ = (
        '_burst',
        '_clock',
        '_meter',
        '_objective',
        '_ration',
        '_used',
        'admission',
        'metrics',
    )

    def __init__(
        self, clock: Clock, meter: DelayMeter, metrics: OverloadMetrics
    ) -> None:
        """Admit all calls."""
        self._clock = clock
        self._meter = meter
        self.admission = AdmissionShare(clock)
        self._ration = PriorityRation()
        self._burst = BurstBound()
        self._objective = DEFAULT_OBJECTIVE
        self._used: float = 0
        self.metrics = metrics

    @property
    def admitted(self) -> float:
        """Share of the arriving calls that are admitted."""
        return self.admission.admitted

    def compute_free(self) -> float:
        """Return the free fraction of the capacity of this gateway."""
        return compute_free(self._used, self.admitted)

    def take(self, priority: int, objective: timedelta) -> bool:
        """Count a call that arrives, and return whether it is admitted."""
        if objective:
            self._objective = min(self._objective, objective)
        is_admitted = self._ration.take(priority) and self._burst.has_room(
            priority, objective or DEFAULT_OBJECTIVE
        )
        if is_admitted:
            self._burst.add()
        return is_admitted

    def measure_held(self, arrival: timedelta) -> timedelta:
        """Return for how long the process held a call; 0 if it is not behind.

        The call also waited before it was read, for about one delay.
        """
        if self.admission.admitted >= 1:
            return NO_TIME
        held = self._clock.read_monotonic() - arrival
        # A body that arrives slowly says nothing of the process.
        standing = self._meter.read_standing()
        return min(held, standing) + standing

    def record_tick(self) -> None:
        """Adjust what is admitted; called every `TICK`."""
        self._meter.record_tick()
        standing = self._meter.read_standing()
        was_overloaded = self.admission.is_overloaded
        self.admission.update(standing, self._objective)
        self._ration.update(self.admitted)
        self._burst.record_tick(self._meter.used)
        self._objective = min(
            DEFAULT_OBJECTIVE, self._objective * OBJECTIVE_GROWTH
        )
        self._update_use()
        self.metrics.show(standing, self.admitted)
        if self.admission.is_overloaded != was_overloaded:
            log.warning(
                'gateway-overloaded',
                is_overloaded=self.admission.is_overloaded,
                delay_ms=standing // MILLISECOND,
                refused=self.metrics.count_refused(),
                used=round(self._used, 2),
            )

    def _update_use(self) -> None:
        if self._meter.elapsed:
            use = self._meter.used / self._meter.elapsed
            self._used += (use - self._used) * USE_SMOOTHING
