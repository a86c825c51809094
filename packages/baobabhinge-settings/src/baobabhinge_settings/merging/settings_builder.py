"""Building of typed settings from a merged folder without faults."""

from collections import defaultdict
from typing import Any

import msgspec

from baobabhinge_settings.model import Service, Settings
from baobabhinge_settings.model.scopes import ScopeIndex
from baobabhinge_settings.reading.merged_folder import MergedFolder

PartsByField = dict[str, list[Any]]
FIELD_BY_PART = {
    'placement': 'placements',
    'run-once': 'run_once',
    'version': 'versions',
    'adapter': 'adapters',
}


def build_settings(merged: MergedFolder) -> Settings:
    """Return the typed settings of ``merged``, which has no faults."""
    deployments = _build_kind(merged, 'deployment')
    return Settings(
        regions=_map_by_name(merged, 'region'),
        services=_build_services(merged),
        workspaces=_map_by_name(merged, 'workspace'),
        links=tuple(_build_kind(merged, 'link')),
        data_rules=ScopeIndex(_build_kind(merged, 'data-rule')),
        limits=ScopeIndex(_build_kind(merged, 'limit')),
        objectives=tuple(_build_kind(merged, 'objective')),
        policy=deployments[0].policy if deployments else None,
        drained=frozenset(
            drain.vm for drain in _build_kind(merged, 'drain') if drain.wanted
        ),
    )


def _build_kind(merged: MergedFolder, kind: str) -> list[Any]:
    return [section.build() for section in merged.list_kind(kind)]


def _map_by_name(merged: MergedFolder, kind: str) -> dict[str, Any]:
    return {entry.name: entry for entry in _build_kind(merged, kind)}


def _build_services(merged: MergedFolder) -> dict[str, Service]:
    parts: defaultdict[str, PartsByField] = defaultdict(dict)
    for kind, field in FIELD_BY_PART.items():
        for part in _build_kind(merged, kind):
            parts[part.service].setdefault(field, []).append(part.entry)
    return {
        service.name: _add_parts(service, parts[service.name])
        for service in _build_kind(merged, 'service')
    }


def _add_parts(service: Service, parts: PartsByField) -> Service:
    fields = {field: tuple(entries) for field, entries in parts.items()}
    return msgspec.structs.replace(service, **fields)
