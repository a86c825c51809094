"""Sections about workspaces, data rules and limits."""

from typing import Any

from baobabhinge_settings.model import DataRule, Limit, Workspace
from baobabhinge_settings.schema import Key, Reference, register_section
from baobabhinge_settings.schema.names import parse_name, parse_names
from baobabhinge_settings.schema.numbers import create_count_parser

REGION = Reference('region')
SERVICE = Reference('service')
SERVICE_KEY = Key('service', parse_name, is_required=False, reference=SERVICE)
WORKSPACE_KEY = Key(
    'workspace',
    parse_name,
    is_required=False,
    reference=Reference('workspace'),
)


@register_section(
    'workspace',
    (None,),
    Key('home', parse_name, is_required=False, reference=REGION),
    Key('services', parse_names, is_required=False, reference=SERVICE),
)
def build_workspace(name: str, **options: Any) -> Workspace:
    """Build a workspace; ``options`` are the keys that are set."""
    return Workspace(name, **options)


@register_section(
    'data-rule',
    (None,),
    Key('region', parse_name, reference=REGION),
    Key('may-go-to', parse_names, reference=REGION),
    SERVICE_KEY,
    WORKSPACE_KEY,
)
def build_data_rule(name: str, **options: Any) -> DataRule:
    """Build the rule about the regions to which data may be sent."""
    return DataRule(name, **options)


@register_section(
    'limit',
    (None,),
    SERVICE_KEY,
    WORKSPACE_KEY,
    Key(
        'in-flight',
        create_count_parser('requests', lowest=1),
        is_required=False,
        is_overridable=True,
    ),
    Key(
        'rate',
        create_count_parser('requests/s', lowest=1),
        is_required=False,
        is_overridable=True,
    ),
)
def build_limit(name: str, **options: Any) -> Limit:
    """Build a limit on the calls that one gateway admits."""
    return Limit(name, **options)
