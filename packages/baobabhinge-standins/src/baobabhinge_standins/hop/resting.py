"""Cost of knowing the load of many backend servers at one gateway."""

import asyncio
from datetime import timedelta

import msgspec

from baobabhinge_standins.fleet import Role
from baobabhinge_standins.hop.meter import MILLISECONDS_PER_SECOND
from baobabhinge_standins.hop.starting import Site, start_site
from baobabhinge_standins.hop.work import REGION

SETTLING = timedelta(seconds=3)
SPAN = timedelta(seconds=20)
PERCENT = 100


class Rest(msgspec.Struct, frozen=True):
    """A gateway without calls.

    Parameters
    ----------
    processor : float
        Processor time, in percent of a core.
    memory : float
        Resident memory, in KiB.
    """

    processor: float
    memory: float


async def measure_reports(backends: int) -> Rest:
    """Return what a lone gateway spends that polls ``backends`` servers.

    All of them are listed at the address of one engine.
    """
    async with start_site() as site:
        engine = site.running.roster.list_by(Role.engine)[0]
        for _ in range(backends):
            listed = site.running.roster.add_backend(
                Role.engine,
                REGION,
                'idle',
            )
            listed.port = engine.port
        await site.running.vm_lists.publish()
        await asyncio.sleep(SETTLING.total_seconds())
        return await _measure(site)


async def _measure(site: Site) -> Rest:
    spent = site.meter.read_processor()
    await asyncio.sleep(SPAN.total_seconds())
    spent = site.meter.read_processor() - spent
    span = SPAN.total_seconds() * MILLISECONDS_PER_SECOND
    return Rest(PERCENT * spent / span, site.meter.read_memory())
