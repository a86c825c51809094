"""Measurement of the times of an exchange."""

from collections.abc import AsyncIterator
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.routing.observations import (
    ExchangeSample,
    Observations,
)


class ExchangeTimer:
    """Measure the times of one exchange from its dispatch.

    Parameters
    ----------
    clock : Clock
        Clock of the measurement.
    observations : Observations
        Record of the finished exchanges.
    destination : str
        Vm or remote region of the target.
    predicted_wait : timedelta
        Queueing delay that was expected at dispatch.
    """

    __slots__ = ('_clock', '_destination', '_observations', '_started', '_wait')

    def __init__(
        self,
        clock: Clock,
        observations: Observations,
        destination: str,
        predicted_wait: timedelta,
    ) -> None:
        """Start the measurement."""
        self._clock = clock
        self._observations = observations
        self._destination = destination
        self._wait = predicted_wait
        self._started = clock.read_monotonic()

    async def observe(
        self,
        chunks: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield ``chunks``, and record the times after the last one."""
        first: timedelta | None = None
        async for chunk in chunks:
            first = first or self._read_elapsed()
            yield chunk
        total = self._read_elapsed()
        self._observations.add(
            ExchangeSample(
                self._destination, first or total, total, self._wait
            ),
        )

    def _read_elapsed(self) -> timedelta:
        return self._clock.read_monotonic() - self._started
