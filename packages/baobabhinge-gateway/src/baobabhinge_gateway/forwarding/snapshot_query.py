"""Requests for state, as they are sent to another gateway."""

from collections.abc import Mapping
from urllib.parse import urlencode

import msgspec

from baobabhinge_gateway.forwarding.snapshot import (
    SNAPSHOT_PATH,
    StoreRevisions,
    parse_revision,
)

NO_CHANGES = -1
# RFC 9110, section 8.4.1.2: zlib format.
DEFLATE = 'deflate'


class SnapshotQuery(msgspec.Struct, frozen=True):
    """What a gateway lacks, and what it can read.

    Parameters
    ----------
    since : StoreRevisions
        Revisions that the gateway has.
    version : int
        Version of its configuration; a snapshot may leave it out.
    changes_from : int
        Revision up to which it knows all changes of the servers. A snapshot may
        tell the changes since then in place of a list. `NO_CHANGES` for a
        gateway that reads only lists, such as one of an earlier version.
    is_inflatable : bool
        Whether it reads compressed snapshots.
    """

    since: StoreRevisions
    version: int = 0
    changes_from: int = NO_CHANGES
    is_inflatable: bool = False

    def format_target(self) -> str:
        """Return path and query of the request."""
        query = {
            **msgspec.structs.asdict(self.since),
            'version': self.version,
            'changes-from': self.changes_from,
            'accepts': DEFLATE if self.is_inflatable else '',
        }
        return f'{SNAPSHOT_PATH}?{urlencode(query)}'


def parse_query(query: Mapping[str, str]) -> SnapshotQuery:
    """Return what is asked for in the query of a request."""
    changes_from = query.get('changes-from', '')
    return SnapshotQuery(
        StoreRevisions(
            parse_revision(query.get('operators', '')),
            parse_revision(query.get('servers', '')),
        ),
        parse_revision(query.get('version', '')),
        int(changes_from) if changes_from.isdecimal() else NO_CHANGES,
        query.get('accepts') == DEFLATE,
    )
