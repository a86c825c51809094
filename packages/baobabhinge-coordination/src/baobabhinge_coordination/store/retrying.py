"""Retries of calls that the key-value service throttles."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from baobabhinge_coordination.store.errors import StoreThrottledError
from baobabhinge_coordination.store.protocol import (
    KeyValueStore,
    StoredValue,
)

MAX_RETRIES = 30
RETRY_INTERVAL = timedelta(seconds=1)

AnswerT = TypeVar('AnswerT')
Sleep = Callable[[timedelta], Awaitable[None]]


class RetryingStore:
    """Retry throttled calls at a fixed interval.

    A throttled call had no effect, so a retry is harmless.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    sleep : callable
        Waits for a duration.
    """

    __slots__ = ('_sleep', '_store')

    def __init__(self, store: KeyValueStore, sleep: Sleep) -> None:
        """Store the collaborators; no call is made."""
        self._store = store
        self._sleep = sleep

    async def read(self, key: str) -> StoredValue:
        """Return the value of ``key``, with revision 0 if it is absent."""
        return await self._retry(lambda: self._store.read(key))

    async def watch(
        self,
        key: str,
        after: int,
        max_wait: timedelta,
    ) -> StoredValue:
        """Return the value once its revision passes ``after``."""
        return await self._retry(
            lambda: self._store.watch(key, after, max_wait),
        )

    async def swap(self, key: str, body: bytes, expected: int) -> bool:
        """Write ``body`` if the revision is still ``expected``."""
        return await self._retry(
            lambda: self._store.swap(key, body, expected),
        )

    async def delete(self, key: str, expected: int) -> bool:
        """Delete ``key`` if the revision is still ``expected``."""
        return await self._retry(lambda: self._store.delete(key, expected))

    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``."""
        return await self._retry(lambda: self._store.list_keys(prefix))

    async def _retry(self, call: Callable[[], Awaitable[AnswerT]]) -> AnswerT:
        for _ in range(MAX_RETRIES):
            try:
                return await call()
            except StoreThrottledError:
                await self._sleep(RETRY_INTERVAL)
        return await call()
