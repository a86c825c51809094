"""State of the deployment, as one gateway sends it to another."""

from collections.abc import Mapping
from urllib.parse import urlencode

import msgspec

from baobabhinge_coordination.bounds import Milliseconds, StoreRevision
from baobabhinge_gateway.deployment import BackendServer, Revision

SNAPSHOT_PATH = '/knowledge'
# Above all revisions of the store: asks a gateway to leave out that part.
UNWANTED = (1 << 63) - 1


class StoreRevisions(msgspec.Struct, array_like=True, frozen=True):
    """Revisions of the store, one for each part of the state.

    Parameters
    ----------
    operators : int
        Revision of the configuration and the evacuations; 0 for none.
    servers : int
        Revision of the list of backend servers; 0 for none.
    """

    operators: StoreRevision = 0
    servers: StoreRevision = 0

    def format_query(self) -> str:
        """Return the revisions as a URL query."""
        return urlencode(msgspec.structs.asdict(self))

    def name_part(self) -> str:
        """Return the only part that is wanted; ``all`` if both are."""
        if self.servers == UNWANTED:
            return 'operators'
        return 'servers' if self.operators == UNWANTED else 'all'

    def is_ahead_of(self, other: 'StoreRevisions') -> bool:
        """Return whether any revision is newer than in ``other``."""
        return self.operators > other.operators or self.servers > other.servers


def parse_revisions(query: Mapping[str, str]) -> StoreRevisions:
    """Return the revisions in a URL query; 0 for each that is missing."""
    return StoreRevisions(
        _parse_revision(query.get('operators', '')),
        _parse_revision(query.get('servers', '')),
    )


def _parse_revision(text: str) -> int:
    return int(text) if text.isdecimal() else 0


class Snapshot(msgspec.Struct):
    """Configuration, evacuations and backend servers at some store revisions.

    Parameters
    ----------
    marks : StoreRevisions
        Newest changes of each part that the sender has applied.
    revision : Revision or None
        Configuration in force; left out, as is ``evacuated``, if the receiver
        has it.
    evacuated : tuple of str
        Failure domains that are to get no calls.
    servers : tuple of BackendServer
        All backend servers, left out if the receiver has them.
    lapsing_ms : mapping of str to int
        Servers whose entries are gone, and for how much longer they are kept,
        in milliseconds. They are not among ``servers``.
    complete_to : StoreRevisions
        Revisions up to which the sender has applied all changes; 0 for a part
        of which it does not know this, as gateways of earlier versions.
    """

    marks: StoreRevisions
    revision: Revision | None = None
    evacuated: tuple[str, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    lapsing_ms: Mapping[str, Milliseconds] = {}
    complete_to: StoreRevisions = StoreRevisions()
