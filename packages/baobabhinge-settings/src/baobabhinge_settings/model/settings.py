"""The merged whole."""

from collections.abc import Mapping

import msgspec

from baobabhinge_settings.model.service import Service


class Region(msgspec.Struct, frozen=True):
    """A region with its failure domains."""

    name: str
    failure_domains: tuple[str, ...]


class Settings(msgspec.Struct, frozen=True):
    """Everything that the operators' folder says."""

    regions: Mapping[str, Region]
    services: Mapping[str, Service]

    def find_service(self, name: str) -> Service | None:
        """Return the service called ``name``, if there is one."""
        return self.services.get(name)
