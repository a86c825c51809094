"""Routing rules of the settings in force."""

from typing import Protocol

from baobabhinge_settings import Settings
from baobabhinge_settings.model import Limit, Objective

BITS_PER_BYTE = 8
USABLE_LINK_FRACTION = 0.8
DEFAULT_LINK_BITS_PER_SECOND = 1_000_000_000


class SettingsSource(Protocol):
    """Provider of the settings in force."""

    def require_settings(self) -> Settings:
        """Return the settings in force."""


class RoutingRules:
    """Queries on the routing rules of the settings in force.

    Parameters
    ----------
    source : SettingsSource
        Provider of the settings.
    region : str
        Local region.
    """

    __slots__ = ('_region', '_source')

    def __init__(self, source: SettingsSource, region: str) -> None:
        """Store the source; settings are read at each query."""
        self._source = source
        self._region = region

    def find_objective(self, service: str) -> Objective:
        """Return the objective that operators set for ``service``."""
        return self._source.require_settings().find_objective(service)

    def find_policy_name(self) -> str | None:
        """Return the name of the configured routing policy, if any."""
        return self._source.require_settings().policy

    def find_limits(self, service: str, workspace: str) -> list[Limit]:
        """Return the limits on calls of ``workspace`` to ``service``."""
        settings = self._source.require_settings()
        return settings.limits.find(service, workspace)

    def compute_link_rate(self, region: str) -> float:
        """Return the bytes per second that may be sent to ``region``."""
        settings = self._source.require_settings()
        link = settings.find_link(self._region, region)
        bandwidth = link.bandwidth if link else DEFAULT_LINK_BITS_PER_SECOND
        return bandwidth * USABLE_LINK_FRACTION / BITS_PER_BYTE
