"""Load reports that lag."""

import asyncio
from collections.abc import AsyncIterator, Callable
from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_coordination.clock import Clock

SAMPLE_INTERVAL = timedelta(milliseconds=50)
MILLISECOND = timedelta(milliseconds=1)


class Load(msgspec.Struct, frozen=True):
    """Body of ``GET /load``.

    Parameters
    ----------
    running, waiting : int
        Requests in the batch and in the queue.
    slots : int
        Requests that run at once.
    draining : bool
        Whether the backend server is leaving.
    age_ms : int
        Age of the report, in milliseconds.
    models : tuple of str
        Names of the models that can be run, with version and adapter.
    """

    running: int
    waiting: int
    slots: int
    draining: bool = False
    age_ms: int = 0
    models: tuple[str, ...] = ()


class _Sample(msgspec.Struct, frozen=True):
    instant: timedelta
    load: Load


class LoadReport:
    """Samples of the load; the newest that is old enough is reported.

    Parameters
    ----------
    clock : Clock
        Clock of the samples.
    lag : timedelta
        Least age of a report.
    measure : callable
        Returns the present load.
    """

    __slots__ = ('_clock', '_lag', '_measure', '_samples')

    def __init__(
        self,
        clock: Clock,
        lag: timedelta,
        measure: Callable[[], Load],
    ) -> None:
        """Take the first sample."""
        self._clock = clock
        self._lag = lag
        self._measure = measure
        first = _Sample(clock.read_monotonic() - lag, measure())
        self._samples = [first]

    def sample(self) -> None:
        """Keep the present load, and drop what will not be reported."""
        now = self._clock.read_monotonic()
        self._samples.append(_Sample(now, self._measure()))
        due = [one for one in self._samples if one.instant <= now - self._lag]
        newest_due = due[-1].instant
        self._samples = [
            one for one in self._samples if one.instant >= newest_due
        ]

    def get(self) -> Load:
        """Return the newest sample that is old enough."""
        oldest = self._samples[0]
        age = self._clock.read_monotonic() - oldest.instant
        return msgspec.structs.replace(oldest.load, age_ms=age // MILLISECOND)

    async def keep_sampling(self, app: web.Application) -> AsyncIterator[None]:
        """Sample while the application runs."""
        sampling = asyncio.create_task(self._sample_on())
        yield
        sampling.cancel()

    async def report(self, request: web.Request) -> web.Response:
        """Answer ``GET /load``."""
        return web.Response(
            body=msgspec.json.encode(self.get()),
            content_type='application/json',
        )

    async def _sample_on(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL.total_seconds())
