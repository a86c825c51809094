"""Checks of incomplete sections, and of sections that contradict others."""

from collections import Counter
from collections.abc import Iterator

from baobabhinge_settings.checking.registry import register_check
from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault
from baobabhinge_settings.model import ServiceKind
from baobabhinge_settings.reading.merged_folder import (
    MergedFolder,
    MergedSection,
)

WEIGHT_KEYS = ('cost', 'tail-latency', 'sent-away')
WEIGHT_TOTAL_PERCENT = 100
SERVICE_KIND_BY_SECTION = {
    'version': ServiceKind.model,
    'adapter': ServiceKind.model,
    'run-once': ServiceKind.plain,
}


@register_check
def check_required_keys(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each required key that is not set."""
    for section in merged.list_sections():
        for name, key in section.first.kind.keys.items():
            is_set = name in section.keys or name in section.invalid_keys
            if key.is_required and not is_set:
                yield section.create_fault(
                    FaultCode.missing_key,
                    f'[{section.title}] needs the key {name}',
                )


@register_check
def check_default_versions(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each service of several versions without a default."""
    counts = Counter(
        version.first.names[0] for version in merged.list_kind('version')
    )
    for section in merged.list_kind('service'):
        is_set = {'default-version'} & {*section.keys, *section.invalid_keys}
        if not is_set and counts[section.first.names[0]] > 1:
            yield section.create_fault(
                FaultCode.missing_key,
                f'[{section.title}] has several versions and needs the key'
                ' default-version',
            )


@register_check
def check_limits(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each limit with neither ``in-flight`` nor ``rate``."""
    for section in merged.list_kind('limit'):
        if not ({'in-flight', 'rate'} & {*section.keys, *section.invalid_keys}):
            yield section.create_fault(
                FaultCode.missing_key,
                f'[{section.title}] needs in-flight, rate or both',
            )


@register_check
def check_objectives(merged: MergedFolder) -> Iterator[Fault]:
    """Yield faults of wrong totals of weights, and of repeated objectives."""
    first_by_service: dict[str | None, MergedSection] = {}
    for section in merged.list_kind('objective'):
        total = sum(section.get(weight) or 0 for weight in WEIGHT_KEYS)
        if section.is_complete() and total != WEIGHT_TOTAL_PERCENT:
            yield section.create_fault(
                FaultCode.weights_not_whole,
                f'the weights add up to {total} percent; allowed: 100',
            )
        first = first_by_service.setdefault(section.get('service'), section)
        if first is not section:
            yield section.create_fault(
                FaultCode.duplicate_section,
                f'[{first.title}] is for the same service; keep one of them',
            )


@register_check
def check_links(merged: MergedFolder) -> Iterator[Fault]:
    """Yield faults of links within one region, and of repeated links."""
    for section in merged.list_kind('link'):
        first, second = section.first.names
        if first == second:
            yield section.create_fault(
                FaultCode.out_of_range,
                'a link needs two different regions',
            )
        elif first > second and merged.find('link', (second, first)):
            yield section.create_fault(
                FaultCode.duplicate_section,
                f'[link {second} {first}] is the same link; keep one of them',
            )


@register_check
def check_kinds(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each section that the kind of its service excludes."""
    for section_kind, service_kind in SERVICE_KIND_BY_SECTION.items():
        for section in merged.list_kind(section_kind):
            service = merged.find('service', section.first.names[:1])
            if service and service.get('kind') not in {None, service_kind}:
                yield section.create_fault(
                    FaultCode.wrong_kind,
                    f'[{section_kind}] is for services with kind ='
                    f' {service_kind}',
                )
