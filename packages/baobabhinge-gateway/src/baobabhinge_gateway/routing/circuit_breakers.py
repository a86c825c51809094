"""Backend servers that failed are left alone, then taken back slowly."""

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


class _Circuit(msgspec.Struct):
    failures: int = 0
    rest: timedelta = INITIAL_PROBE_DELAY
    opened: timedelta | None = None
    closed: timedelta | None = None


class CircuitBreakers:
    """One circuit for each place.

    A place that failed several times in a row rests, the longer the more
    often it fails; then a single call probes it. Success closes the circuit,
    and the calls that may be open there grow over some seconds.

    Parameters
    ----------
    clock : Clock
        Clock of the rests.
    """

    __slots__ = ('_circuit_breakers', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Start with every circuit closed."""
        self._clock = clock
        self._circuit_breakers: dict[str, _Circuit] = {}

    def allows(self, destination: str, in_flight: int) -> bool:
        """Tell whether one more call may go to ``destination``.

        Parameters
        ----------
        destination : str
            Vm or region.
        in_flight : int
            Calls open there now.
        """
        circuit = self._circuit_breakers.get(destination)
        if circuit is None:
            return True
        now = self._clock.read_monotonic()
        if circuit.opened is not None:
            has_rested = now - circuit.opened >= circuit.rest
            return has_rested and not in_flight
        return circuit.closed is None or in_flight < _ramp(now - circuit.closed)

    def record_success(self, destination: str) -> None:
        """Take note of an answer of ``destination``."""
        circuit = self._circuit_breakers.get(destination)
        if circuit is None:
            return
        if circuit.opened is None:
            circuit.failures = 0
            return
        now = self._clock.read_monotonic()
        self._circuit_breakers[destination] = _Circuit(closed=now)

    def record_failure(self, destination: str) -> None:
        """Take note of a broken or refused exchange with ``destination``."""
        circuit = self._circuit_breakers.setdefault(destination, _Circuit())
        circuit.failures += 1
        if circuit.opened is not None:
            circuit.rest = min(MAX_PROBE_DELAY, circuit.rest * 2)
        if circuit.failures >= FAILURES_TO_OPEN:
            circuit.opened = self._clock.read_monotonic()


def _ramp(elapsed: timedelta) -> int:
    if elapsed >= SLOW_START:
        return UNLIMITED
    grown = SLOW_START_MAX_IN_FLIGHT * (elapsed / SLOW_START)
    return max(SLOW_START_MIN_IN_FLIGHT, int(grown))
