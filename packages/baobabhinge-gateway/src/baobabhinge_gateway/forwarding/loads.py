"""How busy each backend server is, seen by all gateways together."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# Ten heartbeats: longer silence means that the gateway or the path is gone.
OTHERS_FRESH = timedelta(seconds=2)
# The first moment at which something is older than that.
SOONEST = timedelta(microseconds=1)


class ServerLoad(msgspec.Struct, array_like=True, frozen=True):
    """Calls at one backend server.

    Parameters
    ----------
    calls : int
        Calls in flight.
    unread : int
        Prompt tokens of calls without a first event.
    memory : int
        Tokens that the calls hold in memory when they end.
    """

    calls: int = 0
    unread: int = 0
    memory: int = 0

    def add(self, other: 'ServerLoad', sign: int = 1) -> 'ServerLoad':
        """Return the load with the calls of ``other``, or without them."""
        return ServerLoad(
            self.calls + sign * other.calls,
            self.unread + sign * other.unread,
            self.memory + sign * other.memory,
        )


Loads = dict[str, ServerLoad]


class _Told(msgspec.Struct, frozen=True):
    heard: timedelta
    loads: Mapping[str, ServerLoad]


class _Sums(msgspec.Struct):
    """Loads by all others, until one of them is too old."""

    loads: Mapping[str, ServerLoad]
    end: timedelta


class LoadTable:
    """Loads of servers, the own calls and those that other gateways tell.

    Parameters
    ----------
    clock : Clock
        Dates what others tell.

    Attributes
    ----------
    own : dict of str to ServerLoad
        Calls that this gateway has in flight, by server.
    """

    __slots__ = ('_clock', '_others', '_sums', 'own')

    def __init__(self, clock: Clock) -> None:
        """Know no load."""
        self._clock = clock
        self.own: Loads = {}
        self._others: dict[str, _Told] = {}
        self._sums = _Sums({}, clock.read_monotonic())

    def record(self, gateway: str, loads: Mapping[str, ServerLoad]) -> None:
        """Take what another gateway has in flight."""
        now = self._clock.read_monotonic()
        self._others[gateway] = _Told(now, loads)
        self._sums.end = now

    def read(self, server: str) -> ServerLoad:
        """Return the load of ``server`` by all gateways."""
        now = self._clock.read_monotonic()
        if now >= self._sums.end:
            self._sums = _add_up(self._others, now)
        others = self._sums.loads.get(server, NO_LOAD)
        return others.add(self.own.get(server, NO_LOAD))

    def change(self, server: str, load: ServerLoad, sign: int) -> None:
        """Add ``load`` to the own load of ``server``, or take it off."""
        changed = self.own.get(server, NO_LOAD).add(load, sign)
        if changed.calls > 0:
            self.own[server] = changed
        else:
            self.own.pop(server, None)

    @contextmanager
    def hold(self, server: str, load: ServerLoad) -> Iterator['HeldLoad']:
        """Count a call at ``server`` while the context is open."""
        held = HeldLoad(self, server, load)
        try:
            yield held
        finally:
            held.release()


class HeldLoad:
    """The share of one call in the load of its server.

    Parameters
    ----------
    table : LoadTable
        Loads of all servers.
    server : str
        Server of the call.
    load : ServerLoad
        The share.
    """

    __slots__ = ('_load', '_server', '_table')

    def __init__(self, table: LoadTable, server: str, load: ServerLoad) -> None:
        """Add the share."""
        self._table = table
        self._server = server
        self._load = load
        table.change(server, load, 1)

    def note_first_event(self) -> None:
        """Count the prompt as read, once."""
        if self._load.unread:
            read = ServerLoad(unread=self._load.unread)
            self._table.change(self._server, read, -1)
            self._load = self._load.add(read, -1)

    def release(self) -> None:
        """Take the whole share off."""
        self._table.change(self._server, self._load, -1)


def _add_up(others: dict[str, _Told], now: timedelta) -> _Sums:
    for gateway, silent in tuple(others.items()):
        if silent.heard < now - OTHERS_FRESH:
            others.pop(gateway)
    sums: Loads = {}
    for told in others.values():
        _add_all(sums, told.loads)
    oldest = min((one.heard for one in others.values()), default=now)
    return _Sums(sums, oldest + OTHERS_FRESH + SOONEST)


def _add_all(sums: Loads, loads: Mapping[str, ServerLoad]) -> None:
    for server, load in loads.items():
        sums[server] = sums.get(server, NO_LOAD).add(load)


NO_LOAD = ServerLoad()
