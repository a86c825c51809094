"""Sizes of the example deployments."""

from datetime import timedelta

import msgspec

from baobabhinge_standins.fleet.members import Role


class BackendPlan(msgspec.Struct, frozen=True):
    """Backend servers of one service in one region.

    Parameters
    ----------
    service : str
        Service that they serve.
    role : Role
        What runs there.
    region : str
        Where they stand.
    count : int
        Number of vms.
    options : tuple of str
        More options of the stand-in, such as ``--fencing=refuse``.
    """

    service: str
    role: Role
    region: str
    count: int
    options: tuple[str, ...] = ()


class DeploymentPlan(msgspec.Struct, frozen=True):
    """A deployment.

    Parameters
    ----------
    name : str
        Name of the folder under ``examples``.
    gateways : dict of str to int
        Number of gateways by region.
    backends : tuple of BackendPlan
        Backend servers.
    wan_latency : timedelta
        One-way latency between regions.
    domain_latency : timedelta
        One-way latency between the failure domains of a region.
    failure_domains : int
        Failure domains of each region.
    process_lines : tuple of str
        More lines of the section ``[process]`` of every gateway.
    link_bits_per_second : int
        Bandwidth of each link between two regions.
    store_region : str
        Region of the key-value service; the first one if empty.
    faulty_backends, faulty_peers : bool
        Whether backend servers and gateways of the own region are reached
        through links too, so that each of these can fail by itself.
    caller_latency : timedelta
        One-way latency between callers and gateways; callers use links if
        it is not zero.
    has_weights : bool
        Whether engines read weights from a weight store.
    """

    name: str
    gateways: dict[str, int]
    backends: tuple[BackendPlan, ...]
    wan_latency: timedelta
    link_bits_per_second: int
    store_region: str = ''
    faulty_backends: bool = False
    faulty_peers: bool = False
    caller_latency: timedelta = timedelta()
    has_weights: bool = False
    domain_latency: timedelta = timedelta()
    failure_domains: int = 1
    process_lines: tuple[str, ...] = ()

    @property
    def home_of_store(self) -> str:
        """Return the region of the key-value service."""
        return self.store_region or next(iter(self.gateways))


WAN_LATENCY = timedelta(milliseconds=80)

GIGABIT = 1_000_000_000
MEGABIT = 1_000_000


def _plan_backends(
    service: str,
    role: Role,
    counts: dict[str, int],
) -> tuple[BackendPlan, ...]:
    return tuple(
        BackendPlan(service, role, region, count)
        for region, count in counts.items()
    )


PLANS = {
    'tsukushi': DeploymentPlan(
        name='tsukushi',
        gateways={'fukuoka': 3, 'kumamoto': 3, 'kagoshima': 3},
        backends=(
            *_plan_backends(
                'appraiser-llm',
                Role.engine,
                {'fukuoka': 4, 'kumamoto': 3, 'kagoshima': 2},
            ),
            *_plan_backends(
                'trade-ledger',
                Role.application,
                {'fukuoka': 1, 'kumamoto': 1, 'kagoshima': 1},
            ),
        ),
        wan_latency=WAN_LATENCY,
        link_bits_per_second=GIGABIT,
        caller_latency=timedelta(milliseconds=3),
        domain_latency=timedelta(microseconds=500),
        has_weights=True,
    ),
    'kranfelder': DeploymentPlan(
        name='kranfelder',
        gateways={'bayern': 3, 'nordsee': 3, 'adria': 2},
        backends=(
            *_plan_backends(
                'planner-llm',
                Role.engine,
                {'bayern': 2, 'nordsee': 2, 'adria': 1},
            ),
            *_plan_backends(
                'quay-app',
                Role.application,
                {'bayern': 1, 'nordsee': 1, 'adria': 1},
            ),
        ),
        wan_latency=WAN_LATENCY,
        link_bits_per_second=70 * MEGABIT,
        caller_latency=timedelta(milliseconds=1),
        domain_latency=timedelta(microseconds=1500),
        has_weights=True,
    ),
}
