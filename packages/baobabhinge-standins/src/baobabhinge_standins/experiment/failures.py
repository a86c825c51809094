"""Workloads in which backend servers fail."""

from baobabhinge_standins.experiment.sites import Site
from baobabhinge_standins.experiment.streams import build_fault, build_load
from baobabhinge_standins.experiment.workloads import (
    Workload,
    register_workload,
)


@register_workload('calm')
def build_calm(site: Site) -> Workload:
    """Half of every region's capacity."""
    return build_load(site)


@register_workload('slow-server')
def build_slow_server(site: Site) -> Workload:
    """One engine of the largest region is slow for a while."""
    return build_fault(site, 'slow')


@register_workload('region-lost')
def build_region_lost(site: Site) -> Workload:
    """The engines of the largest region are gone for a while."""
    return build_fault(site, 'lost')


@register_workload('stale-reports')
def build_stale_reports(site: Site) -> Workload:
    """An engine is slow and reports that it is idle."""
    return build_fault(site, 'lying')
