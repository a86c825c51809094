"""Sections about services, their versions, adapters and placements."""

from typing import Any

import msgspec

from baobabhinge_settings.model import (
    Adapter,
    ModelVersion,
    Placement,
    RunOnceRule,
    Service,
    ServiceKind,
)
from baobabhinge_settings.schema import Key, Reference, register_section
from baobabhinge_settings.schema.names import parse_name, parse_names
from baobabhinge_settings.schema.numbers import (
    create_count_parser,
    parse_duration,
)
from baobabhinge_settings.schema.text_values import (
    create_choice_parser,
    parse_path,
    parse_weights_path,
)

SERVICE = Reference('service')
VERSION = Reference('version', is_owned=True)
VERSIONS_KEY = Key(
    'versions',
    parse_names,
    is_required=False,
    reference=VERSION,
)
WEIGHTS_KEY = Key('weights', parse_weights_path)
HTTP_METHODS = ('DELETE', 'GET', 'PATCH', 'POST', 'PUT')


class ServicePart(msgspec.Struct, frozen=True):
    """A typed section that belongs to a service, with its name."""

    service: str
    entry: Placement | RunOnceRule | ModelVersion | Adapter


@register_section(
    'service',
    (None,),
    Key('kind', create_choice_parser(kind.value for kind in ServiceKind)),
    Key('deadline', parse_duration, is_overridable=True),
    Key(
        'default-version',
        parse_name,
        is_required=False,
        is_overridable=True,
        reference=VERSION,
    ),
)
def build_service(name: str, *, kind: str, **options: Any) -> Service:
    """Build a service, still without versions, adapters and placements."""
    return Service(name, ServiceKind(kind), **options)


@register_section('version', (SERVICE, None), WEIGHTS_KEY)
def build_version(service: str, name: str, *, weights: str) -> ServicePart:
    """Build a version of a model."""
    return ServicePart(service, ModelVersion(name, weights))


@register_section('adapter', (SERVICE, None), WEIGHTS_KEY, VERSIONS_KEY)
def build_adapter(service: str, name: str, **options: Any) -> ServicePart:
    """Build an adapter of a model."""
    return ServicePart(service, Adapter(name, **options))


@register_section(
    'placement',
    (SERVICE, Reference('region')),
    Key('replicas', create_count_parser('vms'), is_overridable=True),
    VERSIONS_KEY,
    Key(
        'adapters',
        parse_names,
        is_required=False,
        reference=Reference('adapter', is_owned=True),
    ),
)
def build_placement(service: str, region: str, **options: Any) -> ServicePart:
    """Build the placement of a service in a region."""
    return ServicePart(service, Placement(region, **options))


@register_section(
    'run-once',
    (SERVICE, None),
    Key('method', create_choice_parser(HTTP_METHODS)),
    Key('path', parse_path),
)
def build_run_once(
    service: str, _: str, *, method: str, path: str
) -> ServicePart:
    """Build a rule about calls that must not run more than once."""
    return ServicePart(service, RunOnceRule(method, path))
