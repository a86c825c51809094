"""Timing the pieces of an answer."""

from collections.abc import AsyncIterator
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.routing.observations import (
    ExchangeSample,
    Observations,
)


class ExchangeTimer:
    """Time one exchange from its dispatch.

    Parameters
    ----------
    clock : Clock
        Clock of the times.
    observations : Observations
        Where the finished exchange goes.
    destination : str
        Vm or region of the target.
    predicted_wait : timedelta
        Queueing that was expected.
    """

    __slots__ = ('_clock', '_destination', '_observations', '_started', '_wait')

    def __init__(
        self,
        clock: Clock,
        observations: Observations,
        destination: str,
        predicted_wait: timedelta,
    ) -> None:
        """Start the time."""
        self._clock = clock
        self._observations = observations
        self._destination = destination
        self._wait = predicted_wait
        self._started = clock.read_monotonic()

    async def observe(
        self,
        pieces: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield ``pieces``, and record the exchange at their end."""
        first: timedelta | None = None
        async for piece in pieces:
            first = first or self._read_elapsed()
            yield piece
        total = self._read_elapsed()
        self._observations.add(
            ExchangeSample(
                self._destination, first or total, total, self._wait
            ),
        )

    def _read_elapsed(self) -> timedelta:
        return self._clock.read_monotonic() - self._started
