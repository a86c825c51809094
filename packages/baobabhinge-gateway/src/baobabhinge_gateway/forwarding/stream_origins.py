"""Servers at which streams began, by the attempt that began them.

Load pattern: many streams break at once, and their callers take them up at any
gateway while servers of several versions serve.
"""

from collections import OrderedDict
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# Callers come back within the time limit of their call, which both deployments
# set to 15 s at most.
ORIGIN_RETENTION = timedelta(minutes=1)
MAX_ORIGINS = 16_384


class StreamOrigin(msgspec.Struct, array_like=True, frozen=True):
    """Where a stream began, which it may not leave.

    Parameters
    ----------
    service : str
        Service that began it.
    software : str
        Version of the software of its server.
    """

    service: str
    software: str

    def matches(self, service: str, software: str) -> bool:
        """Return whether a server may go on with the stream."""
        is_known = bool(self.software)
        return is_known and self == StreamOrigin(service, software)


UNKNOWN_ORIGIN = StreamOrigin('', '')


class OriginTable:
    """Origins of streams by the key of their attempt.

    Beyond `MAX_ORIGINS`, the oldest ones are dropped.

    Parameters
    ----------
    clock : Clock
        Clock by which origins expire.
    """

    __slots__ = ('_clock', '_origins')

    def __init__(self, clock: Clock) -> None:
        """Start without origins."""
        self._clock = clock
        self._origins: OrderedDict[str, tuple[timedelta, StreamOrigin]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of origins, expired ones included."""
        return len(self._origins)

    def record(self, key: str, origin: StreamOrigin) -> None:
        """Record an origin.

        An attempt with two different origins has none that is known: its name
        was used twice.
        """
        known = self.find(key)
        if known is not None and known != origin:
            origin = UNKNOWN_ORIGIN
        self._origins.pop(key, None)
        self._origins[key] = (self._clock.read_monotonic(), origin)
        while len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of an attempt, if it is known."""
        self._drop_expired()
        found = self._origins.get(key)
        return found[1] if found else None

    def _drop_expired(self) -> None:
        oldest = self._clock.read_monotonic() - ORIGIN_RETENTION
        while self._origins:
            key = next(iter(self._origins))
            if self._origins[key][0] >= oldest:
                break
            self._origins.pop(key)
