"""Keys of the store, with revisions, leases and a history."""

import base64
from typing import Any

import msgspec

FIRST_REVISION = 100


class StoreRow(msgspec.Struct):
    """One change: a written key, or the end of one."""

    key: str
    revision: int
    encoded: str = ''
    lease: int = 0
    has_ended: bool = False

    def render(self) -> dict[str, Any]:
        """Return the row as the store tells it."""
        if self.has_ended:
            return {
                'key': self.key,
                'revision': self.revision,
                'tombstone': True,
            }
        return {
            'key': self.key,
            'value': self.encoded,
            'revision': self.revision,
            'created-rev': self.revision,
            'lease': self.lease,
        }


class StoreTable:
    """Rows by key, and the changes that led to them.

    Attributes
    ----------
    revision : int
        Revision of the latest change.
    oldest : int
        Changes up to this revision were dropped.
    ended : set of int
        Leases that have ended.
    """

    __slots__ = ('_history', '_rows', 'ended', 'oldest', 'revision')

    def __init__(self) -> None:
        """Hold nothing."""
        self._rows: dict[str, StoreRow] = {}
        self._history: list[StoreRow] = []
        self.revision = FIRST_REVISION
        self.oldest = 0
        self.ended: set[int] = set()

    def write(self, key: str, encoded: str, lease: int = 0) -> None:
        """Write one key."""
        self.revision += 1
        row = StoreRow(key, self.revision, encoded, lease)
        self._rows[key] = row
        self._history.append(row)

    def remove(self, key: str) -> None:
        """Remove one key."""
        if self._rows.pop(key, None) is not None:
            self.revision += 1
            self._history.append(StoreRow(key, self.revision, has_ended=True))

    def find(self, key: str) -> StoreRow | None:
        """Return the row of a key, if it is there."""
        return self._rows.get(key)

    def list_rows(self, prefix: str) -> list[StoreRow]:
        """Return the rows below ``prefix`` in the order of their keys."""
        found = [
            row for key, row in self._rows.items() if key.startswith(prefix)
        ]
        return sorted(found, key=lambda row: row.key)

    def list_changes(self, prefix: str, after: int) -> list[StoreRow]:
        """Return the changes below ``prefix`` after a revision."""
        return [
            row
            for row in self._history
            if row.revision > after and row.key.startswith(prefix)
        ]

    def compact(self) -> None:
        """Drop the history."""
        self._history.clear()
        self.oldest = self.revision


def encode_text(text: bytes) -> str:
    """Return ``text`` as the store keeps it."""
    return base64.b64encode(text).decode()
