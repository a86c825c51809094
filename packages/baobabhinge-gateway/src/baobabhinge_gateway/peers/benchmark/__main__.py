"""Command line of the benchmarks."""

import asyncio

import defopt

from baobabhinge_gateway.peers.benchmark.figures import print_figures
from baobabhinge_gateway.peers.benchmark.large_region import (
    measure_large_region,
)
from baobabhinge_gateway.peers.benchmark.loopback import measure_loopback
from baobabhinge_gateway.peers.benchmark.memory import measure_memory


def loopback(*, gateways: int = 12, seconds: int = 20, seed: int = 1) -> None:
    """Measure heartbeats over HTTP, all gateways in one process.

    Parameters
    ----------
    gateways
        Gateways of one region.
    seconds
        Duration of the measurement.
    seed
        Seed of the random choices.
    """
    print_figures(asyncio.run(measure_loopback(gateways, seconds, seed)))


def protocol(
    *,
    regions: int = 25,
    gateways: int = 128,
    seconds: int = 30,
    seed: int = 1,
) -> None:
    """Measure one region of a large fleet, without sockets.

    Parameters
    ----------
    regions
        Number of regions, all of one size.
    gateways
        Gateways of each region.
    seconds
        Duration of the measurement, on a manual clock.
    seed
        Seed of the random choices.
    """
    figures = asyncio.run(
        measure_large_region(regions, gateways, seconds, seed)
    )
    print_figures(figures)


def memory(
    *,
    members: int = 3200,
    vms: int = 13_200,
    reports: int = 400,
) -> None:
    """Measure the memory that one gateway needs for a fleet.

    Parameters
    ----------
    members
        Gateways of all regions.
    vms
        Vms on the list of the platform.
    reports
        Backend servers of the region.
    """
    print_figures(measure_memory(members, vms, reports))


if __name__ == '__main__':
    defopt.run([loopback, memory, protocol])
