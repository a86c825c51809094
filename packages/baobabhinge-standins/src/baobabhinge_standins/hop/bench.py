"""Sending requests and reading their cost."""

import asyncio
from collections.abc import Iterator
from datetime import timedelta

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.fleet import Deployment, Role
from baobabhinge_standins.hop.meter import Meter
from baobabhinge_standins.hop.work import LONG_STREAM, Work

HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_MILLISECOND = 1000
MICROSECOND = timedelta(microseconds=1)
CONCURRENCY = 8
MEDIAN = 50
FAR_TAIL = 99
STREAM_START = timedelta(seconds=1)


class Row(msgspec.Struct, frozen=True):
    """Figures of one kind of work over one way.

    Parameters
    ----------
    name : str
        Kind of work.
    way : str
        ``gateway`` or ``direct``.
    p50, p99 : float
        Latency, in milliseconds.
    processor : float
        Processor time of the gateway for a call, in milliseconds.
    """

    name: str
    way: str
    p50: float
    p99: float
    processor: float


class Bench:
    """Requests to one deployment.

    Parameters
    ----------
    running : Deployment
        The deployment.
    http : aiohttp.ClientSession
        Session that the owner closes.
    meter : Meter
        Meter of the gateway.
    clock : Clock
        Clock of the latencies.
    """

    __slots__ = ('_clock', '_http', '_running', 'meter')

    def __init__(
        self,
        running: Deployment,
        http: aiohttp.ClientSession,
        meter: Meter,
        clock: Clock,
    ) -> None:
        """Keep the parts."""
        self._running = running
        self._http = http
        self._clock = clock
        self.meter = meter

    async def measure(self, work: Work, way: str, calls: int) -> Row:
        """Send ``calls`` requests, eight at a time, and return the figures."""
        latencies = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        numbers = iter(range(calls))
        spent = self.meter.read_processor()
        await asyncio.gather(
            *(
                self._send_some(work, way, numbers, latencies)
                for _ in range(CONCURRENCY)
            ),
        )
        spent = self.meter.read_processor() - spent
        return Row(
            work.name,
            way,
            _read(latencies, MEDIAN),
            _read(latencies, FAR_TAIL),
            spent / calls,
        )

    async def measure_open_streams(self, streams: int) -> float:
        """Return the memory of one open stream, in KiB."""
        before = self.meter.read_memory()
        sending = [
            asyncio.create_task(self._send(LONG_STREAM, 'gateway'))
            for _ in range(streams)
        ]
        await asyncio.sleep(STREAM_START.total_seconds())
        grown = self.meter.read_memory() - before
        await asyncio.gather(*sending)
        return grown / streams

    async def _send_some(
        self,
        work: Work,
        way: str,
        numbers: Iterator[int],
        latencies: HdrHistogram,
    ) -> None:
        for _ in numbers:
            started = self._clock.read_monotonic()
            await self._send(work, way)
            elapsed = self._clock.read_monotonic() - started
            latencies.record_value(elapsed // MICROSECOND)

    async def _send(self, work: Work, way: str) -> None:
        async with self._http.request(
            work.method,
            self._get_url(work, way),
            data=work.render_body(),
        ) as answer:
            await answer.read()
            answer.raise_for_status()

    def _get_url(self, work: Work, way: str) -> str:
        if way == 'direct':
            backend = self._running.roster.list_by(work.role)[0]
            return f'http://{backend.address}{work.path}'
        gateway = self._running.roster.list_by(Role.gateway)[0]
        return f'http://{gateway.caller_address}{work.prefix}{work.path}'


def _read(latencies: HdrHistogram, percentile: int) -> float:
    latency: int = latencies.get_value_at_percentile(percentile)
    return latency / MICROSECONDS_PER_MILLISECOND
