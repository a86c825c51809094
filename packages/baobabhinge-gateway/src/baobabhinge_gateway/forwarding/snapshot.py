"""What one gateway knows of the deployment, as it is handed to another."""

from collections.abc import Mapping
from urllib.parse import urlencode

import msgspec

from baobabhinge_gateway.deployment import BackendServer, Revision


class StoreRevisions(msgspec.Struct, array_like=True, frozen=True):
    """How much of the platform's store a gateway has seen.

    Parameters
    ----------
    operators : int
        Newest change of the configuration or of evacuations; 0 for none.
    servers : int
        Newest change of the list of backend servers; 0 for none.
    """

    operators: int = 0
    servers: int = 0

    def format_query(self) -> str:
        """Return the marks as the query of a path."""
        return urlencode(msgspec.structs.asdict(self))

    def is_ahead_of(self, other: 'StoreRevisions') -> bool:
        """Whether something newer than in ``other`` was seen."""
        return self.operators > other.operators or self.servers > other.servers


def parse_revisions(query: Mapping[str, str]) -> StoreRevisions:
    """Return the marks that a query holds, 0 for what it does not."""
    return StoreRevisions(
        _read_mark(query.get('operators', '')),
        _read_mark(query.get('servers', '')),
    )


def _read_mark(text: str) -> int:
    return int(text) if text.isdecimal() else 0


class Snapshot(msgspec.Struct):
    """Configuration, evacuations and backend servers as of some marks.

    Parameters
    ----------
    marks : StoreRevisions
        How much the sender has seen.
    revision : Revision or None
        Configuration in force, left out with ``evacuated`` if the receiver has
        it.
    evacuated : tuple of str
        Failure domains that are to get nothing.
    servers : tuple of BackendServer
        All backend servers, left out if the receiver has them.
    """

    marks: StoreRevisions
    revision: Revision | None = None
    evacuated: tuple[str, ...] = ()
    servers: tuple[BackendServer, ...] = ()
