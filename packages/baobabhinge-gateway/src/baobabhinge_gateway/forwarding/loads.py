"""How busy each backend server is, seen by all gateways together."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# Ten heartbeats: longer silence means that the gateway or the path is gone.
OTHERS_FRESH = timedelta(seconds=2)


class ServerLoad(msgspec.Struct, array_like=True):
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

    def add(self, other: 'ServerLoad') -> None:
        """Add the calls of ``other``."""
        self.calls += other.calls
        self.unread += other.unread
        self.memory += other.memory

    def subtract(self, other: 'ServerLoad') -> None:
        """Take the calls of ``other`` off."""
        self.calls -= other.calls
        self.unread -= other.unread
        self.memory -= other.memory


Loads = dict[str, ServerLoad]


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

    __slots__ = ('_clock', '_others', 'own')

    def __init__(self, clock: Clock) -> None:
        """Know no load."""
        self._clock = clock
        self.own: defaultdict[str, ServerLoad] = defaultdict(ServerLoad)
        self._others: dict[str, tuple[timedelta, Mapping[str, ServerLoad]]] = {}

    def hear(self, gateway: str, loads: Mapping[str, ServerLoad]) -> None:
        """Take what another gateway has in flight."""
        self._others[gateway] = (self._clock.read_monotonic(), loads)

    def read(self, server: str) -> ServerLoad:
        """Return the load of ``server`` by all gateways."""
        total = ServerLoad()
        if server in self.own:
            total.add(self.own[server])
        oldest = self._clock.read_monotonic() - OTHERS_FRESH
        for heard, loads in self._others.values():
            if heard >= oldest and server in loads:
                total.add(loads[server])
        return total

    def snapshot(self) -> Loads:
        """Return the own loads that are not zero."""
        return {name: load for name, load in self.own.items() if load.calls > 0}

    @contextmanager
    def hold(self, server: str, load: ServerLoad) -> Iterator['HeldLoad']:
        """Count a call at ``server`` while the context is open."""
        held = HeldLoad(self.own[server], load)
        try:
            yield held
        finally:
            held.release()
            if self.own[server].calls <= 0:
                self.own.pop(server)


class HeldLoad:
    """The share of one call in the load of its server."""

    __slots__ = ('_load', '_server')

    def __init__(self, server: ServerLoad, load: ServerLoad) -> None:
        """Add ``load``."""
        self._server = server
        self._load = load
        server.add(load)

    def note_first_event(self) -> None:
        """Count the prompt as read."""
        read = ServerLoad(unread=self._load.unread)
        self._server.subtract(read)
        self._load.subtract(read)

    def release(self) -> None:
        """Take the whole share off."""
        self._server.subtract(self._load)
