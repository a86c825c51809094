"""Workspaces: groups of callers with keys, a priority and a quota."""

import enum
from collections.abc import Iterable, Mapping
from hashlib import blake2b

import msgspec

# Keys that are guessed don't collide with one of a workspace.
KEY_DIGEST_BYTES = 16


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    requests = 'requests'
    tokens = 'tokens'


class Quota(msgspec.Struct, frozen=True):
    """Bound on the calls of a workspace at all gateways together.

    Parameters
    ----------
    rate : float
        Units per second.
    burst : float
        Units beyond the rate that may be used at once.
    unit : QuotaUnit
        What is counted.
    plain_units : float
        Units of a call that names no tokens, if tokens are counted.
    """

    rate: float
    burst: float = 0
    unit: QuotaUnit = QuotaUnit.requests
    plain_units: float = 0


class Workspace(msgspec.Struct, frozen=True):
    """Group of callers that the operators know by their keys.

    Parameters
    ----------
    name : str
        Name that backend servers are told.
    keys : tuple of str
        Digests of the keys of its callers, by `digest_key`; empty in a call
        that another gateway forwarded.
    priority : int or None
        Priority of its calls, 0 is the most urgent; ``None`` for that of the
        route.
    quota : Quota or None
        ``None`` if there is no bound.
    regions : tuple of str
        Regions in which its calls may be served; empty for all.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    quota: Quota | None = None
    regions: tuple[str, ...] = ()

    def allows(self, region: str) -> bool:
        """Whether calls may be served in ``region``."""
        return not self.regions or region in self.regions

    def without_keys(self) -> 'Workspace':
        """Return the workspace as it may be told to other gateways."""
        return msgspec.structs.replace(self, keys=())


def digest_key(key: str) -> str:
    """Return what is kept of a key in memory and sent to other gateways."""
    encoded = key.encode(errors='surrogateescape')
    return blake2b(encoded, digest_size=KEY_DIGEST_BYTES).hexdigest()


class WorkspaceTable:
    """Workspaces of one configuration by key.

    Parameters
    ----------
    workspaces : iterable of Workspace
        All workspaces.
    """

    __slots__ = ('_by_key', '_names')

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        """Index the workspaces."""
        listed = tuple(workspaces)
        self._names = frozenset(workspace.name for workspace in listed)
        self._by_key = {
            key: workspace for workspace in listed for key in workspace.keys
        }

    def __bool__(self) -> bool:
        """Whether callers need a key.

        They do if the last key of the only workspace was removed, too.
        """
        return bool(self._names)

    def find(self, digest: str) -> Workspace | None:
        """Return the workspace of a key, by its `digest_key`, or ``None``."""
        return self._by_key.get(digest)

    def list_keys(self) -> Mapping[str, str]:
        """Return the names of the workspaces by digests of their keys."""
        return {key: one.name for key, one in self._by_key.items()}
