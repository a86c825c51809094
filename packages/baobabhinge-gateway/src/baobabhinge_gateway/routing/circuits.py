"""Backend servers that failed are left alone, then taken back slowly."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

FAILURES_TO_OPEN = 3
FIRST_REST = timedelta(seconds=1)
LONGEST_REST = timedelta(seconds=8)
SLOW_START = timedelta(seconds=5)
FIRST_IN_FLIGHT = 1
FULL_IN_FLIGHT = 32
UNLIMITED = 1 << 30


class _Circuit(msgspec.Struct):
    failures: int = 0
    rest: timedelta = FIRST_REST
    opened: timedelta | None = None
    closed: timedelta | None = None


class Circuits:
    """One circuit for each place.

    A place that failed several times in a row rests, the longer the more
    often it fails; then a single call probes it. Success closes the circuit,
    and the calls that may be open there grow over some seconds.

    Parameters
    ----------
    clock : Clock
        Clock of the rests.
    """

    __slots__ = ('_circuits', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Start with every circuit closed."""
        self._clock = clock
        self._circuits: dict[str, _Circuit] = {}

    def allows(self, place: str, in_flight: int) -> bool:
        """Tell whether one more call may go to ``place``.

        Parameters
        ----------
        place : str
            Vm or region.
        in_flight : int
            Calls open there now.
        """
        circuit = self._circuits.get(place)
        if circuit is None:
            return True
        now = self._clock.read_monotonic()
        if circuit.opened is not None:
            has_rested = now - circuit.opened >= circuit.rest
            return has_rested and not in_flight
        return circuit.closed is None or in_flight < _ramp(now - circuit.closed)

    def record_success(self, place: str) -> None:
        """Take note of an answer of ``place``."""
        circuit = self._circuits.get(place)
        if circuit is None:
            return
        if circuit.opened is None:
            circuit.failures = 0
            return
        now = self._clock.read_monotonic()
        self._circuits[place] = _Circuit(closed=now)

    def record_failure(self, place: str) -> None:
        """Take note of a broken or refused exchange with ``place``."""
        circuit = self._circuits.setdefault(place, _Circuit())
        circuit.failures += 1
        if circuit.opened is not None:
            circuit.rest = min(LONGEST_REST, circuit.rest * 2)
        if circuit.failures >= FAILURES_TO_OPEN:
            circuit.opened = self._clock.read_monotonic()


def _ramp(elapsed: timedelta) -> int:
    if elapsed >= SLOW_START:
        return UNLIMITED
    grown = FULL_IN_FLIGHT * (elapsed / SLOW_START)
    return max(FIRST_IN_FLIGHT, int(grown))
