"""Run-once keys, obtained in advance in batches."""

from collections import deque
from datetime import timedelta

import msgspec

from baobabhinge_caller.messages import KeyBatch
from baobabhinge_coordination.clock import Clock


class KeyPool:
    """Pool of keys that are neither used nor expired.

    Parameters
    ----------
    clock : Clock
        Clock for the time to live of the keys.
    """

    __slots__ = ('_clock', '_expires', '_keys')

    def __init__(self, clock: Clock) -> None:
        """Start without keys."""
        self._clock = clock
        self._keys: deque[str] = deque()
        self._expires = clock.read_monotonic()

    def take(self) -> str | None:
        """Remove and return a key; ``None`` means that a batch is needed."""
        if self._clock.read_monotonic() >= self._expires:
            self._keys.clear()
        return self._keys.popleft() if self._keys else None

    def discard_all(self) -> None:
        """Discard all keys, as the gateway that issued them may be gone."""
        self._keys.clear()

    def refill(self, body: bytes) -> None:
        """Replace the keys by those in an answer to ``POST /v1/keys``.

        Keys are used in the first half of their lifetime, which leaves the
        second half for retries of the call.
        """
        batch = msgspec.json.decode(body, type=KeyBatch)
        lifetime = timedelta(seconds=batch.ttl_seconds) / 2
        self._expires = self._clock.read_monotonic() + lifetime
        self._keys = deque(batch.keys)
