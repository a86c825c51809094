"""Sections about regions and the links between them."""

from datetime import timedelta

from baobabhinge_settings.model import Link, Region
from baobabhinge_settings.schema import Key, Reference, register_section
from baobabhinge_settings.schema.names import parse_nonempty_names
from baobabhinge_settings.schema.numbers import parse_bandwidth, parse_duration

REGION = Reference('region')


@register_section(
    'region',
    (None,),
    Key('failure-domains', parse_nonempty_names),
)
def build_region(name: str, *, failure_domains: tuple[str, ...]) -> Region:
    """Build a region with its failure domains."""
    return Region(name, failure_domains)


@register_section(
    'link',
    (REGION, REGION),
    Key('latency', parse_duration, is_overridable=True),
    Key('bandwidth', parse_bandwidth, is_overridable=True),
)
def build_link(
    first: str,
    second: str,
    *,
    latency: timedelta,
    bandwidth: int,
) -> Link:
    """Build the link between two regions."""
    return Link(first, second, latency, bandwidth)
