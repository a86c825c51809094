"""Services, their placements and their calls that may not be repeated."""

import enum
from datetime import timedelta
from fnmatch import fnmatchcase

import msgspec


class ServiceKind(enum.StrEnum):
    """How the backend servers of a service are spoken to."""

    model = 'model'
    plain = 'plain'


class RunOnceRule(msgspec.Struct, frozen=True):
    """Calls of a plain service that may not be repeated.

    Parameters
    ----------
    method : str
        HTTP method in capitals.
    path : str
        Path pattern; ``*`` stands for any characters.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a call falls under this rule."""
        return method == self.method and fnmatchcase(path, self.path)


class Placement(msgspec.Struct, frozen=True):
    """One region in which a service runs.

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
    """One version of a model.

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
    """One adapter of a model.

    Parameters
    ----------
    name : str
        Name of the adapter.
    weights : str
        Path in the weight store.
    versions : tuple of str
        Versions that it fits; empty for all.
    """

    name: str
    weights: str
    versions: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A service that callers ask for by name.

    Parameters
    ----------
    name : str
        Name of the service.
    kind : ServiceKind
        How its backend servers are spoken to.
    deadline : timedelta
        Time for a call whose caller names none.
    placements, run_once, versions, adapters : tuple
        What the settings say about the service.
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
        """Tell whether a call of this service may not be repeated."""
        return any(rule.matches(method, path) for rule in self.run_once)

    @property
    def version_in_force(self) -> str:
        """Return the version of a call that names none; empty without any."""
        if self.default_version is not None:
            return self.default_version
        return self.versions[0].name if self.versions else ''

    def is_placed_in(self, region: str, version: str = '') -> bool:
        """Tell whether the service runs in ``region``.

        Parameters
        ----------
        region : str
            Name of the region.
        version : str, optional
            Version that has to run there.
        """
        return any(
            place.region == region
            and place.replicas
            and (not version or version in (place.versions or (version,)))
            for place in self.placements
        )
