"""Checks that regions and services have backend servers."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from baobabhinge_settings.checking.registry import register_check
from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault
from baobabhinge_settings.model import DataRule
from baobabhinge_settings.model.scopes import ScopeIndex
from baobabhinge_settings.reading.merged_folder import (
    MergedFolder,
    MergedSection,
)

RegionsByService = dict[str, set[str]]


@register_check
def check_regions(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each region in which no service has replicas."""
    placed = _map_placements(merged)
    served = {region for regions in placed.values() for region in regions}
    for section in merged.list_kind('region'):
        name = section.first.names[0]
        if name not in served:
            yield section.create_fault(
                FaultCode.region_without_backend,
                'no service has replicas here; write a [placement SERVICE'
                f' {name}] with 1 vms or more',
            )


@register_check
def check_services(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each service without replicas in any region."""
    placed = _map_placements(merged)
    for section in merged.list_kind('service'):
        name = section.first.names[0]
        if name not in placed:
            yield section.create_fault(
                FaultCode.nowhere_to_run,
                'the service has no replicas; write a [placement'
                f' {name} REGION] with 1 vms or more',
            )


@register_check
def check_data_rules(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each service that a data rule leaves no region."""
    placed = _map_placements(merged)
    rules = {
        section.build(): section
        for section in merged.list_kind('data-rule')
        if section.is_complete()
    }
    index = ScopeIndex(rules)
    for rule, section in rules.items():
        yield from (
            _create_no_region_fault(section, service, placed[service])
            for service in _list_services(merged, rule, placed)
            if not _find_allowed(index, rule, service) & placed[service]
        )


def _create_no_region_fault(
    section: MergedSection,
    service: str,
    regions: Iterable[str],
) -> Fault:
    listed = ', '.join(sorted(regions))
    return section.create_fault(
        FaultCode.nowhere_to_run,
        f'data of {section.get("region")} may not go to any region of'
        f' {service}; it runs in: {listed}',
        'may-go-to',
    )


def _map_placements(merged: MergedFolder) -> RegionsByService:
    placed: RegionsByService = defaultdict(set)
    for section in merged.list_kind('placement'):
        service, region = section.first.names
        if section.get('replicas') or 'replicas' in section.invalid_keys:
            placed[service].add(region)
    return dict(placed)


def _list_services(
    merged: MergedFolder,
    rule: DataRule,
    placed: RegionsByService,
) -> Iterable[str]:
    workspace: MergedSection | None = None
    if rule.workspace is not None:
        workspace = merged.find('workspace', (rule.workspace,))
    allowed = (workspace and workspace.get('services')) or placed
    return [
        service
        for service in placed
        if rule.service in {None, service} and service in allowed
    ]


def _find_allowed(
    index: ScopeIndex[DataRule],
    rule: DataRule,
    service: str,
) -> set[str]:
    allowed = {rule.region, *rule.may_go_to}
    for other in index.find(service, rule.workspace or ''):
        if other.region == rule.region:
            allowed &= {other.region, *other.may_go_to}
    return allowed
