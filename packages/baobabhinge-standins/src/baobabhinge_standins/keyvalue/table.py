"""Values and revisions, in memory."""

import asyncio

from baobabhinge_standins.keyvalue.rows import Row, Rows
from baobabhinge_standins.keyvalue.sessions import Sessions


class Table:
    """Rows by key; each write raises the revision of the whole table.

    Parameters
    ----------
    sessions : Sessions
        Sessions under which keys are held.

    Attributes
    ----------
    rows : Rows
        The rows.
    changed : asyncio.Condition
        Told after each write.
    """

    __slots__ = ('_sessions', 'changed', 'rows')

    def __init__(self, sessions: Sessions) -> None:
        """Start empty."""
        self._sessions = sessions
        self.rows = Rows()
        self.changed = asyncio.Condition()

    def find(self, key: str) -> Row | None:
        """Return the row of ``key``, without a lapsed session."""
        row = self.rows.get(key)
        if row is None or row.session is None:
            return row
        if not self._sessions.is_alive(row.session):
            row.session = None
        return row

    def revision_of(self, key: str) -> int:
        """Return the revision of ``key``, 0 if it is absent."""
        row = self.rows.get(key)
        return row.revision if row else 0

    def swap(self, key: str, body: bytes, expected: int | None) -> bool:
        """Write if the revision is ``expected``; ``None`` always writes."""
        if expected not in {None, self.revision_of(key)}:
            return False
        row = self.find(key)
        self.rows.write(key, body, row.session if row else None)
        return True

    def delete(self, key: str, expected: int) -> bool:
        """Delete if the revision is ``expected``."""
        if expected != self.revision_of(key):
            return False
        self.rows.remove(key)
        return True

    def acquire(self, key: str, body: bytes, session: str) -> bool:
        """Write under a session unless another one holds the key."""
        row = self.find(key)
        holder = row.session if row else None
        if not self._sessions.is_alive(session) or holder not in {
            None,
            session,
        }:
            return False
        self.rows.write(key, body, session)
        return True

    def release(self, key: str, session: str) -> bool:
        """Give the key back if the session holds it."""
        row = self.find(key)
        if row is None or row.session != session:
            return False
        self.rows.write(key, row.body, None)
        return True
