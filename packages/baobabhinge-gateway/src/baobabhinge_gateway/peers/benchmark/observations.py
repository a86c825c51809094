"""State that the gateways of a simulated region hold."""

from collections.abc import Sequence

from baobabhinge_coordination.membership import MemberState
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.peers.benchmark.fleet import REGION
from baobabhinge_gateway.peers.benchmark.simulated_region import SimulatedRegion
from baobabhinge_platform.machines import Vm

PERCENT = 100
UNKNOWN_AGE_SECONDS = 999


def list_report_ages(region: SimulatedRegion) -> list[float]:
    """Return the ages of all held load reports in seconds, sorted.

    A missing report has the age `UNKNOWN_AGE_SECONDS`.
    """
    views = [gateway.fleet.view for gateway in region.gateways]
    return sorted(
        _read_age_seconds(view, vm)
        for view in views
        for vm in view.list_local_backends()
    )


def _read_age_seconds(view: FleetView, vm: Vm) -> float:
    report = view.find_report(vm)
    return report.age.total_seconds() if report else UNKNOWN_AGE_SECONDS


def find_percentile(ages: Sequence[float], percentile: int) -> float:
    """Return one percentile of sorted ``ages``."""
    return ages[len(ages) * percentile // PERCENT]


async def wait_for_state(region: SimulatedRegion, state: MemberState) -> int:
    """Run until all others record the last gateway in ``state``.

    Returns
    -------
    int
        Simulated seconds until then.
    """
    rounds = 0
    while not all(_check_records(region, state)):
        await region.run(1)
        rounds += 1
    return rounds


def _check_records(region: SimulatedRegion, state: MemberState) -> list[bool]:
    *others, failed = region.gateways
    name = failed.fleet.identity.name
    records = [
        gateway.node.members.table.find(name, REGION) for gateway in others
    ]
    return [bool(record and record.state >= state) for record in records]
