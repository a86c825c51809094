"""Load of each backend server, summed over all gateways."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.reported_loads import ReportedLoads
from baobabhinge_gateway.forwarding.server_load import NO_LOAD, ServerLoad


class LoadTable:
    """Loads that this gateway causes, and those that other gateways report.

    Parameters
    ----------
    clock : Clock
        Timestamps the reports.

    Attributes
    ----------
    own : dict of str to ServerLoad
        Load of the calls that this gateway has in flight, by server.
    """

    __slots__ = ('_reported', 'own')

    def __init__(self, clock: Clock) -> None:
        """Start without calls and without reports."""
        self.own: dict[str, ServerLoad] = {}
        self._reported = ReportedLoads(clock)

    def record(self, gateway: str, loads: Mapping[str, ServerLoad]) -> None:
        """Record the loads, by server, that another gateway reports."""
        self._reported.record(gateway, loads)

    def read(self, server: str) -> ServerLoad:
        """Return the load of ``server``, summed over all gateways."""
        self.drop_expired()
        return self.read_latest(server)

    def read_latest(self, server: str) -> ServerLoad:
        """Return the load of ``server`` as of the latest `drop_expired`."""
        reported = self._reported.read_latest(server)
        own = self.own.get(server)
        return reported if own is None else reported.add(own)

    def drop_expired(self) -> None:
        """Drop the reports of gateways that have become silent."""
        self._reported.drop_expired()

    def change(self, server: str, load: ServerLoad, sign: int) -> None:
        """Add ``load`` to the own load of ``server``, or subtract it.

        Parameters
        ----------
        server : str
            Name of the server.
        load : ServerLoad
            Change of the load.
        sign : int
            1 to add, -1 to subtract.
        """
        changed = self.own.get(server, NO_LOAD).add(load, sign)
        if changed.calls > 0:
            self.own[server] = changed
        else:
            self.own.pop(server, None)

    @contextmanager
    def hold(self, server: str, load: ServerLoad) -> Iterator['HeldLoad']:
        """Count a call at ``server`` while the context is open.

        Parameters
        ----------
        server : str
            Name of the server.
        load : ServerLoad
            Load that the call causes.
        """
        held = HeldLoad(self, server, load)
        try:
            yield held
        finally:
            held.release()


class HeldLoad:
    """Load that one call causes on its server.

    Parameters
    ----------
    table : LoadTable
        Loads of all servers.
    server : str
        Server of the call.
    load : ServerLoad
        Load of the call before its prompt is prefilled.
    """

    __slots__ = ('_load', '_server', '_table')

    def __init__(self, table: LoadTable, server: str, load: ServerLoad) -> None:
        """Add the load to the table."""
        self._table = table
        self._server = server
        self._load = load
        table.change(server, load, 1)

    def record_first_event(self) -> None:
        """Subtract the prompt, which is prefilled; later calls do nothing."""
        if self._load.unread:
            prefilled = ServerLoad(
                unread=self._load.unread,
                unread_by_priority=self._load.unread_by_priority,
            )
            self._table.change(self._server, prefilled, -1)
            self._load = self._load.add(prefilled, -1)

    def release(self) -> None:
        """Subtract the remaining load from the table."""
        self._table.change(self._server, self._load, -1)
