"""Loads that servers state on their answers."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.server_load import ServerLoad
from baobabhinge_gateway.forwarding.server_statements import StatedLoad

# Calls begin and end so often that a stated load is outdated after this time.
MAX_AGE = timedelta(milliseconds=100)
# More waiting calls are not trusted; servers turn calls away long before.
MAX_WAITING_PER_SLOT = 16


class _DatedLoad(msgspec.Struct):
    load: StatedLoad
    received: timedelta
    sent: int = 0


class StatedLoads:
    """Latest load of each server.

    Parameters
    ----------
    clock : Clock
        Timestamps the statements.
    """

    __slots__ = ('_clock', '_loads')

    def __init__(self, clock: Clock) -> None:
        """Start without statements."""
        self._clock = clock
        self._loads: dict[str, _DatedLoad] = {}

    def record(self, server: str, load: StatedLoad) -> None:
        """Record the load that a server states, unless it has no slots."""
        if load.slots > 0:
            now = self._clock.read_monotonic()
            self._loads[server] = _DatedLoad(load, now)

    def record_send(self, server: str) -> None:
        """Count a call that is sent after the latest statement."""
        dated = self._loads.get(server)
        if dated is not None:
            dated.sent += 1

    def correct(self, server: str, load: ServerLoad, prompt: int) -> ServerLoad:
        """Return a load with what the server has stated a moment ago.

        Parameters
        ----------
        server : str
            Name of the server.
        load : ServerLoad
            Load by the reports of gateways.
        prompt : int
            Mean prompt of the calls of its service, in tokens; waiting calls
            count as ahead of a new one.
        """
        dated = self._loads.get(server)
        now = self._clock.read_monotonic()
        if dated is None or now - dated.received > MAX_AGE:
            return load
        stated = dated.load
        waiting = min(stated.waiting, MAX_WAITING_PER_SLOT * stated.slots)
        return msgspec.structs.replace(
            load,
            calls=min(stated.running, stated.slots) + waiting + dated.sent,
            unread=max(load.unread, waiting * prompt),
        )
