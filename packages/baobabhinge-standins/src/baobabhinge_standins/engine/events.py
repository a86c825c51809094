"""Cache events, published late and with gaps."""

from collections import deque
from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.engine.messages import CacheEvent, CacheEventKind

KEPT_EVENTS = 10_000


class _Entry(msgspec.Struct, frozen=True):
    instant: timedelta
    event: CacheEvent


class CacheEventLog:
    """Events by number; some numbers are never published.

    Parameters
    ----------
    clock : Clock
        Clock of the lag.
    lag : timedelta
        Time until an event is published.
    gap : int
        Each event whose number this divides is missing; 0 for no gaps.
    """

    __slots__ = ('_clock', '_entries', '_gap', '_lag', '_number')

    def __init__(self, clock: Clock, lag: timedelta, gap: int = 0) -> None:
        """Start empty."""
        self._clock = clock
        self._lag = lag
        self._gap = gap
        self._number = 0
        self._entries: deque[_Entry] = deque(maxlen=KEPT_EVENTS)

    def add(self, kind: CacheEventKind, block: str) -> None:
        """Number one more event."""
        self._number += 1
        if self._gap and not self._number % self._gap:
            return
        event = CacheEvent(self._number, kind, block)
        self._entries.append(_Entry(self._clock.read_monotonic(), event))

    def list_after(self, number: int) -> list[CacheEvent]:
        """Return the published events with a higher number."""
        latest = self._clock.read_monotonic() - self._lag
        return [
            entry.event
            for entry in self._entries
            if entry.instant <= latest and entry.event.number > number
        ]

    async def report(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/cache-events?after=N``."""
        after = int(request.query.get('after', '0'))
        body = msgspec.json.encode({'events': self.list_after(after)})
        return web.Response(body=body, content_type='application/json')
