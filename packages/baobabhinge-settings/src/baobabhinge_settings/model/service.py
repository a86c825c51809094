"""Services, their placements, versions, adapters and run-once rules."""

import enum
from datetime import timedelta
from fnmatch import fnmatchcase

import msgspec


class ServiceKind(enum.StrEnum):
    """Protocol of the backend servers of a service."""

    model = 'model'
    plain = 'plain'


class RunOnceRule(msgspec.Struct, frozen=True):
    """Calls of a plain service that must not run more than once.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    path : str
        Path pattern; ``*`` stands for any characters.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a call."""
        return method == self.method and fnmatchcase(path, self.path)


class Placement(msgspec.Struct, frozen=True):
    """A region in which a service runs.

    Parameters
    ----------
    region : str
        Name of the region.
    replicas : int
        Number of backend servers expected there.
    versions, adapters : tuple of str
        Versions and adapters that run there; empty for all of the service.
    """

    region: str
    replicas: int
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


class ModelVersion(msgspec.Struct, frozen=True):
    """A version of a model.

    Parameters
    ----------
    name : str
        Name of the version.
    weights : str
        Path in the weight store.
    """

    name: str
    weights: str


class Adapter(msgspec.Struct, frozen=True):
    """An adapter of a model.

    Parameters
    ----------
    name : str
        Name of the adapter.
    weights : str
        Path in the weight store.
    versions : tuple of str
        Versions of the model that it fits; empty for all.
    """

    name: str
    weights: str
    versions: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A service that callers call by name.

    Parameters
    ----------
    name : str
        Name of the service.
    kind : ServiceKind
        Protocol of its backend servers.
    deadline : timedelta
        Time limit of a call without a deadline of its own.
    placements, run_once, versions, adapters : tuple
        Sections of the settings that belong to the service.
    default_version : str, optional
        Version for a call that names none.
    """

    name: str
    kind: ServiceKind
    deadline: timedelta
    placements: tuple[Placement, ...] = ()
    run_once: tuple[RunOnceRule, ...] = ()
    versions: tuple[ModelVersion, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    default_version: str | None = None

    def is_run_once(self, method: str, path: str) -> bool:
        """Return whether a call of this service must run at most once."""
        return any(rule.matches(method, path) for rule in self.run_once)

    @property
    def version_in_force(self) -> str:
        """Return the version for a call that names none, or an empty string."""
        if self.default_version is not None:
            return self.default_version
        return self.versions[0].name if self.versions else ''

    def is_placed_in(self, region: str, version: str = '') -> bool:
        """Return whether the service has replicas in ``region``.

        Parameters
        ----------
        region : str
            Name of the region.
        version : str, optional
            Version that has to run there; empty for any.
        """
        return any(
            placement.region == region
            and placement.replicas
            and (not version or version in (placement.versions or (version,)))
            for placement in self.placements
        )
