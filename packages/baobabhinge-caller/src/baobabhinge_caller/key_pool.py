"""Run-once keys, taken ahead in batches."""

from collections import deque
from datetime import timedelta

import msgspec

from baobabhinge_caller.messages import KeyBatch
from baobabhinge_coordination.clock import Clock


class KeyPool:
    """Keys that have not been used and have not expired.

    Parameters
    ----------
    clock : Clock
        Clock of the time to live.
    """

    __slots__ = ('_clock', '_expires', '_keys')

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._keys: deque[str] = deque()
        self._expires = clock.read_monotonic()

    def take(self) -> str | None:
        """Return one key, ``None`` if a batch has to be asked for."""
        if self._clock.read_monotonic() >= self._expires:
            self._keys.clear()
        return self._keys.popleft() if self._keys else None

    def discard_all(self) -> None:
        """Forget the keys: the gateway that would run them may be gone."""
        self._keys.clear()

    def refill(self, body: bytes) -> None:
        """Keep the keys of an answer to ``POST /v1/keys``.

        A key is used in the first half of its life, so that repeats of the
        call fall into the second.
        """
        batch = msgspec.json.decode(body, type=KeyBatch)
        lifetime = timedelta(seconds=batch.ttl_seconds) / 2
        self._expires = self._clock.read_monotonic() + lifetime
        self._keys = deque(batch.keys)
