"""Parts that workloads share."""

from datetime import timedelta

from baobabhinge_standins.experiment.sites import Site
from baobabhinge_standins.experiment.workloads import (
    Event,
    Stream,
    Workload,
    compute_capacity,
)

CALM_SHARE = 0.5
FAULT_START = timedelta(seconds=4)
FAULT_END = timedelta(seconds=9)


def build_load(site: Site, *extra: Stream) -> Workload:
    """Return half of every region's capacity, and the ``extra`` arrivals."""
    return Workload((*_build_calm(site), *extra))


def build_fault(site: Site, action: str) -> Workload:
    """Return half of every region's capacity with a fault for a while."""
    events = (
        Event(FAULT_START, action, site.home),
        Event(FAULT_END, f'{action}-ends', site.home),
    )
    return Workload(_build_calm(site), events)


def build_bursts(
    site: Site,
    share: float,
    workspace: str = 'one',
) -> tuple[Stream, ...]:
    """Return a burst in every region, as a share of its capacity."""
    return tuple(
        Stream(
            region,
            share * compute_capacity(site, region),
            FAULT_START,
            FAULT_END,
            workspace,
        )
        for region in site.engines
    )


def _build_calm(site: Site) -> tuple[Stream, ...]:
    return tuple(
        Stream(region, CALM_SHARE * compute_capacity(site, region))
        for region in site.engines
    )
