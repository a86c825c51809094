"""State of the deployment, as one gateway sends it to another."""

from collections.abc import Mapping

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

    def name_part(self) -> str:
        """Return the only part that is wanted; ``all`` if both are."""
        if self.servers == UNWANTED:
            return 'operators'
        return 'servers' if self.operators == UNWANTED else 'all'

    def is_ahead_of(self, other: 'StoreRevisions') -> bool:
        """Return whether any revision is newer than in ``other``."""
        return self.operators > other.operators or self.servers > other.servers


def parse_revision(text: str) -> int:
    """Return a revision of a URL query; 0 if it is none."""
    return int(text) if text.isdecimal() else 0


class ServerChanges(msgspec.Struct):
    """Changes of the list of backend servers.

    Parameters
    ----------
    since : int
        Store revision after which they were made. They say nothing to a
        gateway that does not know all changes before.
    written : tuple of BackendServer
        Servers whose entries were written.
    revisions : tuple of int
        Store revision of each of these entries.
    removed : mapping of str to int
        Servers whose entries were removed, and the store revisions of that.
    """

    since: StoreRevision
    written: tuple[BackendServer, ...] = ()
    revisions: tuple[StoreRevision, ...] = ()
    removed: Mapping[str, StoreRevision] = {}


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
        All backend servers, left out if the receiver has them, or gets
        ``changes``.
    lapsing_ms : mapping of str to int
        Servers whose entries are gone, and for how much longer they are kept,
        in milliseconds. They are not among ``servers``.
    complete_to : StoreRevisions
        Revisions up to which the sender has applied all changes; 0 for a part
        of which it does not know this, as gateways of earlier versions.
    changes : ServerChanges or None
        Changes of the list of servers, in place of ``servers``.
    """

    marks: StoreRevisions
    revision: Revision | None = None
    evacuated: tuple[str, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    lapsing_ms: Mapping[str, Milliseconds] = {}
    complete_to: StoreRevisions = StoreRevisions()
    changes: ServerChanges | None = None
