"""Names of models: ``service[:adapter][@version]``."""

import msgspec

from baobabhinge_gateway.errors import UnknownModelError
from baobabhinge_settings.model import Service

ADAPTER_SEPARATOR = ':'
VERSION_SEPARATOR = '@'


class ModelName(msgspec.Struct, frozen=True):
    """Name of a model, as callers write it.

    Parameters
    ----------
    service : str
        Name of the service.
    adapter, version : str
        Adapter and version of the service; empty for its default.
    """

    service: str = ''
    adapter: str = ''
    version: str = ''

    def render(self) -> str:
        """Return the name as text."""
        adapter = f'{ADAPTER_SEPARATOR}{self.adapter}' if self.adapter else ''
        version = f'{VERSION_SEPARATOR}{self.version}' if self.version else ''
        return f'{self.service}{adapter}{version}'

    def resolve(self, service: Service) -> 'ModelName':
        """Return the name, with the version in force where it names none.

        Raises
        ------
        UnknownModelError
            If ``service`` has no such adapter or version.
        """
        version = self.version or service.version_in_force
        resolved = msgspec.structs.replace(self, version=version)
        resolved.check(service)
        return resolved

    def check(self, service: Service) -> None:
        """Check that ``service`` has the adapter and the version.

        Raises
        ------
        UnknownModelError
            If it lacks one of them, or if the adapter does not fit the
            version.
        """
        versions = {version.name for version in service.versions}
        if self.version and self.version not in versions:
            raise UnknownModelError('the service has no such version')
        if self.adapter:
            self._check_adapter(service)

    def _check_adapter(self, service: Service) -> None:
        for adapter in service.adapters:
            if adapter.name == self.adapter:
                fits = not adapter.versions or self.version in adapter.versions
                if fits or not self.version:
                    return
        raise UnknownModelError(
            'the service has no such adapter for this version'
        )


def parse_model_name(text: str) -> ModelName:
    """Return the model that ``text`` names."""
    unversioned, _, version = text.partition(VERSION_SEPARATOR)
    service, _, adapter = unversioned.partition(ADAPTER_SEPARATOR)
    return ModelName(service, adapter, version)
