"""Sections about the deployment, drained vms and objectives."""

from typing import Any

import msgspec

from baobabhinge_settings.model import Objective
from baobabhinge_settings.schema import Key, Reference, register_section
from baobabhinge_settings.schema.names import parse_name
from baobabhinge_settings.schema.numbers import (
    create_count_parser,
    parse_duration,
)
from baobabhinge_settings.schema.text_values import parse_flag

PERCENT = 'percent'


class Deployment(msgspec.Struct, frozen=True):
    """A ``[deployment]`` section."""

    policy: str


class Drain(msgspec.Struct, frozen=True):
    """A ``[drain VM]`` section."""

    vm: str
    wanted: bool


@register_section(
    'deployment',
    (),
    Key('policy', parse_name, is_overridable=True),
)
def build_deployment(*, policy: str) -> Deployment:
    """Build the settings of the whole deployment."""
    return Deployment(policy)


@register_section(
    'drain',
    (None,),
    Key('wanted', parse_flag, is_overridable=True),
)
def build_drain(vm: str, *, wanted: bool) -> Drain:
    """Build the setting that says whether operators drain a vm."""
    return Drain(vm, wanted)


@register_section(
    'objective',
    (None,),
    Key(
        'service',
        parse_name,
        is_required=False,
        reference=Reference('service'),
    ),
    Key('cost', create_count_parser(PERCENT), is_overridable=True),
    Key('tail-latency', create_count_parser(PERCENT), is_overridable=True),
    Key('sent-away', create_count_parser(PERCENT), is_overridable=True),
    Key(
        'first-token',
        parse_duration,
        is_required=False,
        is_overridable=True,
    ),
)
def build_objective(name: str, **options: Any) -> Objective:
    """Build the objective of one service, or of all services."""
    return Objective(name, **options)
