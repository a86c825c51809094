"""Cost, failure detection and age of load reports in one large region."""

from random import Random

import msgspec

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.membership import Member, MemberState
from baobabhinge_gateway.peers.benchmark.figures import (
    Figures,
    compute_figures,
)
from baobabhinge_gateway.peers.benchmark.fleet import build_gateways
from baobabhinge_gateway.peers.benchmark.observations import (
    find_percentile,
    list_report_ages,
    wait_for_state,
)
from baobabhinge_gateway.peers.benchmark.simulated_region import (
    STEP,
    SimulatedRegion,
)
from baobabhinge_gateway.platform import build_http_session

SETTLING_ROUNDS = 30
MEDIAN_PERCENTILE = 50
LATE_PERCENTILE = 95


class LargeFigures(msgspec.Struct, frozen=True):
    """Figures of one region.

    Parameters
    ----------
    cost : Figures
        Cost of one gateway.
    suspected_after, dead_after : int
        Seconds from the failure of a gateway until all others of the region
        record it as suspect, and as dead.
    age_median, age_late : float
        Age of the load reports held by the gateways, in seconds: 50th and
        95th percentile over gateways and backend servers.
    """

    cost: Figures
    suspected_after: int
    dead_after: int
    age_median: float
    age_late: float


async def measure_large_region(
    regions: int,
    gateways: int,
    seconds: int,
    seed: int,
) -> LargeFigures:
    """Return the figures of one of ``regions`` regions of equal size."""
    clock = ManualClock()
    async with build_http_session() as http:
        fleet = build_gateways(http, gateways, seed, clock)
        region = SimulatedRegion(fleet, clock, Random(seed))
        region.fill_member_tables(_build_remote_members(regions - 1, gateways))
        cost = await _measure_cost(region, regions, seconds)
        return await _measure_failure(region, cost)


async def _measure_cost(
    region: SimulatedRegion, regions: int, seconds: int
) -> Figures:
    await region.run(SETTLING_ROUNDS)
    region.network.reset()
    await region.run(seconds)
    gateways = len(region.gateways)
    return compute_figures(
        region.network.cost,
        gateways,
        known=regions * gateways,
        elapsed=STEP * seconds,
    )


async def _measure_failure(
    region: SimulatedRegion, cost: Figures
) -> LargeFigures:
    ages = list_report_ages(region)
    failed = region.gateways[-1].fleet.identity
    region.network.down.add(failed.name)
    suspected_after = await wait_for_state(region, MemberState.suspect)
    dead_after = await wait_for_state(region, MemberState.dead)
    return LargeFigures(
        cost,
        suspected_after,
        suspected_after + dead_after,
        find_percentile(ages, MEDIAN_PERCENTILE),
        find_percentile(ages, LATE_PERCENTILE),
    )


def _build_remote_members(regions: int, gateways: int) -> list[list[Member]]:
    return [
        [
            Member(f'r{region}-{number}', f'r{region}', f'{number}', 1)
            for number in range(gateways)
        ]
        for region in range(regions)
    ]
