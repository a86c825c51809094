"""Run the measurement of one hop."""

import asyncio
import sys
from datetime import timedelta

import defopt

from baobabhinge_standins.hop import work
from baobabhinge_standins.hop.bench import Bench
from baobabhinge_standins.hop.meter import MILLISECONDS_PER_SECOND
from baobabhinge_standins.hop.publishing import measure_publishing
from baobabhinge_standins.hop.resting import measure_reports
from baobabhinge_standins.hop.starting import start_bench

REST = timedelta(seconds=10)
PERCENT = 100
OPEN_STREAMS = 200


def measure_calls(*, calls: int = 1000) -> None:
    """Measure one hop and print a line for each kind of work.

    Parameters
    ----------
    calls
        Requests of each kind; a fifth of it for the long ones.
    """
    for line in asyncio.run(_measure_all(calls)):
        sys.stdout.write(f'{line}\n')


def measure_changes(*, files: int = 100, changes: int = 20) -> None:
    """Measure what a gateway spends on changes of the configuration.

    Parameters
    ----------
    files
        Files of the settings folder; each change is to one of them.
    changes
        Changes to publish, one after another.
    """
    spent = asyncio.run(measure_publishing(files, changes))
    sys.stdout.write(f'{files} files: {spent:.1f} ms of processor a change\n')


def measure_rest(*, backends: int = 10) -> None:
    """Measure a gateway at rest that polls the load of backend servers.

    Parameters
    ----------
    backends
        Backend servers in the region of the only gateway.
    """
    rest = asyncio.run(measure_reports(backends))
    figures = f'{rest.processor:.2f}% of a core, {rest.memory:.0f} KiB'
    sys.stdout.write(f'{backends} backend servers: {figures}\n')


async def _measure_all(calls: int) -> list[str]:
    async with start_bench() as bench:
        lines = await _measure_rest(bench)
        for kind in work.WORKS:
            for way in ('direct', 'gateway'):
                await bench.measure(kind, way, OPEN_STREAMS)
                lines.append(await _measure(bench, kind, way, calls))
        grown = await bench.measure_open_streams(OPEN_STREAMS)
    lines.append(f'memory of an open stream: {grown:.1f} KiB')
    return lines


async def _measure(
    bench: Bench,
    kind: work.Work,
    way: str,
    calls: int,
) -> str:
    row = await bench.measure(kind, way, int(calls * kind.share))
    latencies = f'p50 {row.p50:.2f} ms, p99 {row.p99:.2f} ms'
    spent = f'gateway {row.processor:.3f} ms a call'
    return f'{kind.name}, {way}: {latencies}, {spent}'


async def _measure_rest(bench: Bench) -> list[str]:
    memory = bench.meter.read_memory()
    spent = bench.meter.read_processor()
    await asyncio.sleep(REST.total_seconds())
    spent = bench.meter.read_processor() - spent
    milliseconds = REST.total_seconds() * MILLISECONDS_PER_SECOND
    percent = PERCENT * spent / milliseconds
    return [
        f'memory at rest: {memory:.0f} KiB',
        f'processor at rest: {percent:.2f}% of a core',
    ]


if __name__ == '__main__':
    defopt.run(
        {
            'calls': measure_calls,
            'changes': measure_changes,
            'rest': measure_rest,
        },
    )
