"""Backend servers as the platform lists them."""

from collections.abc import Iterable, Sequence
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment.model import BackendServer

# Entries that a store outage let lapse are back within 2 s of its end.
LAPSED_ENTRY_HOLD = timedelta(milliseconds=2500)
# A server serves on for `drain-ms` after it has announced its end.
NEVER = timedelta(days=-1)

log = structlog.get_logger(__name__)


class ServerCatalogue:
    """Listed servers, and when each was first seen.

    Parameters
    ----------
    clock : Clock
        Dates the entries.

    Notes
    -----
    An entry that vanishes while the store is unsteady is kept for
    `LAPSED_ENTRY_HOLD`, because the store may have dropped it by mistake.
    """

    __slots__ = ('_clock', '_lapsing', '_seen', '_servers', '_unsteady_until')

    def __init__(self, clock: Clock) -> None:
        """Know no server."""
        self._clock = clock
        self._servers: dict[str, BackendServer] = {}
        self._seen: dict[str, timedelta] = {}
        self._lapsing: dict[str, timedelta] = {}
        self._unsteady_until = NEVER

    def put(self, server: BackendServer) -> None:
        """Take a new or changed entry."""
        known = self._servers.get(server.name)
        self._lapsing.pop(server.name, None)
        if known == server:
            return
        log.info(
            'backend-server-listed',
            server=server.name,
            service=server.service,
            is_leaving=server.is_leaving,
            cold_ms=server.cold_for // timedelta(milliseconds=1),
        )
        self._servers[server.name] = server
        self._seen[server.name] = self._clock.read_monotonic()

    def remove(self, name: str) -> None:
        """Take the end of an entry."""
        if name not in self._servers:
            return
        now = self._clock.read_monotonic()
        if now < self._unsteady_until:
            self._lapsing.setdefault(name, now + LAPSED_ENTRY_HOLD)
            log.info('backend-server-lapsing', server=name)
        else:
            self._drop(name)

    def replace(self, servers: Iterable[BackendServer]) -> None:
        """Take a whole list; what it lacks is removed."""
        listed = {server.name: server for server in servers}
        for name in tuple(self._servers):
            if name not in listed:
                self.remove(name)
        for server in listed.values():
            self.put(server)

    def note_unsteady(self) -> None:
        """Note that the store fails, so that entries may lapse by mistake."""
        now = self._clock.read_monotonic()
        self._unsteady_until = now + LAPSED_ENTRY_HOLD

    def list_usable(self, service: str) -> Sequence[BackendServer]:
        """Return the servers of ``service`` that take new calls."""
        self._drop_lapsed()
        return [
            server
            for server in self._servers.values()
            if server.service == service and not server.is_leaving
        ]

    def list_all(self) -> Sequence[BackendServer]:
        """Return every listed server."""
        self._drop_lapsed()
        return list(self._servers.values())

    def find(self, name: str) -> BackendServer | None:
        """Return the server of this name, if it is listed."""
        return self._servers.get(name)

    def read_age(self, server: BackendServer) -> timedelta:
        """Return the time since the entry was seen to change."""
        now = self._clock.read_monotonic()
        return now - self._seen.get(server.name, now)

    def _drop_lapsed(self) -> None:
        now = self._clock.read_monotonic()
        for name, end in tuple(self._lapsing.items()):
            if now >= end:
                self._drop(name)

    def _drop(self, name: str) -> None:
        self._lapsing.pop(name, None)
        self._servers.pop(name, None)
        self._seen.pop(name, None)
        log.info('backend-server-gone', server=name)
