"""Calls of the key-value service that the project needs."""

from datetime import timedelta
from typing import Protocol

import msgspec

ABSENT_REVISION = 0


class StoredValue(msgspec.Struct, frozen=True):
    """One value with the revision at which it was last written.

    Parameters
    ----------
    key : str
        Full key.
    body : bytes
        Stored bytes; empty when the key is absent.
    revision : int
        Revision of the last write, ``0`` when the key is absent.
    session : str, optional
        Identifier of the lease that holds the key.
    """

    key: str
    body: bytes
    revision: int
    session: str | None = None


class KeyValueStore(Protocol):
    """Reads, conditional writes and watches of single keys.

    Every call raises a `StoreError` when the service fails.
    """

    async def read(self, key: str) -> StoredValue:
        """Return the value of ``key``, with revision 0 if it is absent."""

    async def watch(
        self,
        key: str,
        after: int,
        max_wait: timedelta,
    ) -> StoredValue:
        """Return the value once its revision passes ``after``.

        If ``max_wait`` ends first, the unchanged value is returned.
        """

    async def swap(self, key: str, body: bytes, expected: int) -> bool:
        """Write ``body`` if the revision is still ``expected``."""

    async def delete(self, key: str, expected: int) -> bool:
        """Delete ``key`` if the revision is still ``expected``."""

    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, in key order."""


class LeaseStore(Protocol):
    """Leases, and keys that are held under them.

    Every call raises a `StoreError` when the service fails.
    """

    async def grant(self, time_to_live: timedelta) -> str:
        """Create a lease and return its identifier, the ``session``."""

    async def renew(self, session: str) -> bool:
        """Renew a lease; return ``False`` if it has expired."""

    async def acquire(self, key: str, body: bytes, session: str) -> bool:
        """Acquire ``key``; return ``False`` if another lease holds it."""

    async def release(self, key: str, session: str) -> None:
        """Release ``key``, held under the lease ``session``."""
