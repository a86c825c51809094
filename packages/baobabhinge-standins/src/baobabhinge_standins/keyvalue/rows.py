"""Rows by key, in memory."""

import msgspec


class Row(msgspec.Struct):
    """One stored value."""

    body: bytes
    revision: int
    session: str | None = None


class Rows:
    """Rows; each write raises the revision of all of them."""

    __slots__ = ('_revision', '_rows')

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, Row] = {}
        self._revision = 0

    def get(self, key: str) -> Row | None:
        """Return the row of ``key``, if there is one."""
        return self._rows.get(key)

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, in their order."""
        return sorted(key for key in self._rows if key.startswith(prefix))

    def write(self, key: str, body: bytes, session: str | None) -> None:
        """Replace the row of ``key``."""
        self._revision += 1
        self._rows[key] = Row(body, self._revision, session)

    def remove(self, key: str) -> None:
        """Remove the row of ``key``."""
        self._revision += 1
        self._rows.pop(key, None)
