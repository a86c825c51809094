"""Circuit breakers that keep calls from failing destinations."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

FAILURES_TO_OPEN = 3
INITIAL_PROBE_DELAY = timedelta(seconds=1)
MAX_PROBE_DELAY = timedelta(seconds=8)
SLOW_START = timedelta(seconds=5)
SLOW_START_MIN_IN_FLIGHT = 1
SLOW_START_MAX_IN_FLIGHT = 32
UNLIMITED = 1 << 30


class _CircuitBreaker(msgspec.Struct):
    failures: int = 0
    probe_delay: timedelta = INITIAL_PROBE_DELAY
    opened: timedelta | None = None
    closed: timedelta | None = None


class CircuitBreakers:
    """One circuit breaker for each destination.

    The breaker of a destination opens after `FAILURES_TO_OPEN` failures in a
    row. It rejects calls for a delay, which doubles with each further failure
    up to `MAX_PROBE_DELAY`, and then lets a single call probe the destination.
    A success closes it, and the limit on the calls in flight at the
    destination grows over `SLOW_START`.

    Parameters
    ----------
    clock : Clock
        Clock for the delays.
    """

    __slots__ = ('_circuit_breakers', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Start with every circuit breaker closed."""
        self._clock = clock
        self._circuit_breakers: dict[str, _CircuitBreaker] = {}

    def allows(self, destination: str, in_flight: int) -> bool:
        """Return whether one more call may be sent to ``destination``.

        Parameters
        ----------
        destination : str
            Name of a vm or remote region.
        in_flight : int
            Calls in flight at the destination.
        """
        circuit = self._circuit_breakers.get(destination)
        if circuit is None:
            return True
        now = self._clock.read_monotonic()
        if circuit.opened is not None:
            may_probe = now - circuit.opened >= circuit.probe_delay
            return may_probe and not in_flight
        return circuit.closed is None or in_flight < _compute_slow_start_limit(
            now - circuit.closed
        )

    def record_success(self, destination: str) -> None:
        """Record that ``destination`` answered."""
        circuit = self._circuit_breakers.get(destination)
        if circuit is None:
            return
        if circuit.opened is None:
            circuit.failures = 0
            return
        now = self._clock.read_monotonic()
        self._circuit_breakers[destination] = _CircuitBreaker(closed=now)

    def record_failure(self, destination: str) -> None:
        """Record a refused or broken exchange with ``destination``."""
        circuit = self._circuit_breakers.setdefault(
            destination, _CircuitBreaker()
        )
        circuit.failures += 1
        if circuit.opened is not None:
            circuit.probe_delay = min(MAX_PROBE_DELAY, circuit.probe_delay * 2)
        if circuit.failures >= FAILURES_TO_OPEN:
            circuit.opened = self._clock.read_monotonic()


def _compute_slow_start_limit(elapsed: timedelta) -> int:
    if elapsed >= SLOW_START:
        return UNLIMITED
    limit = SLOW_START_MAX_IN_FLIGHT * (elapsed / SLOW_START)
    return max(SLOW_START_MIN_IN_FLIGHT, int(limit))
