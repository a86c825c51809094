"""Counting calls to the key-value service, and limiting their rates."""

import enum
from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_coordination.clock import Clock

SESSION_PREFIX = '/v1/session/'
ONE_SECOND = timedelta(seconds=1)


class CallKind(enum.StrEnum):
    """What a call does; a waiting watch counts as one call."""

    read = 'read'
    watch = 'watch'
    write = 'write'
    session = 'session'


READS = frozenset((CallKind.read, CallKind.watch))


class CallCounts(msgspec.Struct):
    """Calls so far by kind.

    Parameters
    ----------
    read, watch, write, session : int
        Calls, refused ones too.
    limited : int
        Calls that were refused because of a rate limit.
    """

    read: int = 0
    watch: int = 0
    write: int = 0
    session: int = 0
    limited: int = 0


def classify(request: web.Request) -> CallKind:
    """Return the kind of one call."""
    if request.path.startswith(SESSION_PREFIX):
        return CallKind.session
    if request.method != 'GET':
        return CallKind.write
    return CallKind.watch if 'index' in request.query else CallKind.read


class RateLimit:
    """Calls of the present second.

    Parameters
    ----------
    clock : Clock
        Clock of the seconds.
    per_second : int
        Calls that are let through in each second.
    """

    __slots__ = ('_begun', '_clock', '_count', 'per_second')

    def __init__(self, clock: Clock, per_second: int) -> None:
        """Start with no call."""
        self._clock = clock
        self.per_second = per_second
        self._begun = clock.read_monotonic()
        self._count = 0

    def admit(self) -> bool:
        """Count one call and tell whether it is let through."""
        now = self._clock.read_monotonic()
        if now - self._begun >= ONE_SECOND:
            self._begun = now
            self._count = 0
        self._count += 1
        return self._count <= self.per_second
