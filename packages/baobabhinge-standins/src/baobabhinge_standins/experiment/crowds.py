"""Workloads with more arrivals than the engines can run."""

from baobabhinge_standins.experiment.sites import Site
from baobabhinge_standins.experiment.streams import (
    FAULT_END,
    FAULT_START,
    build_bursts,
    build_load,
)
from baobabhinge_standins.experiment.workloads import (
    Stream,
    Workload,
    compute_capacity,
    register_workload,
)

BURST_SHARE = 2
OVERLOAD_SHARE = 2.5
NOISY_SHARE = 1.5


@register_workload('burst')
def build_burst(site: Site) -> Workload:
    """The largest region gets two and a half times its capacity."""
    return build_load(site, _build_home_burst(site, is_retrying=False))


@register_workload('retry-storm')
def build_retry_storm(site: Site) -> Workload:
    """Refused callers of a burst come back when they are told to."""
    return build_load(site, _build_home_burst(site, is_retrying=True))


@register_workload('overload')
def build_overload(site: Site) -> Workload:
    """Every region gets three times its capacity."""
    return build_load(site, *build_bursts(site, OVERLOAD_SHARE))


@register_workload('noisy-workspace')
def build_noisy_workspace(site: Site) -> Workload:
    """One workspace alone sends more than every region can run."""
    return build_load(site, *build_bursts(site, NOISY_SHARE, 'noisy'))


def _build_home_burst(site: Site, *, is_retrying: bool) -> Stream:
    return Stream(
        site.home,
        BURST_SHARE * compute_capacity(site, site.home),
        FAULT_START,
        FAULT_END,
        is_retrying=is_retrying,
    )
