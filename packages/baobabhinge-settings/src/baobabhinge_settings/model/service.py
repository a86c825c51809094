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
    """

    region: str
    replicas: int


class Service(msgspec.Struct, frozen=True):
    """A service that callers ask for by name."""

    name: str
    kind: ServiceKind
    deadline: timedelta
    placements: tuple[Placement, ...] = ()
    run_once: tuple[RunOnceRule, ...] = ()

    def is_run_once(self, method: str, path: str) -> bool:
        """Tell whether a call of this service may not be repeated."""
        return any(rule.matches(method, path) for rule in self.run_once)

    def is_placed_in(self, region: str) -> bool:
        """Tell whether the service runs in ``region``."""
        return any(place.region == region for place in self.placements)
