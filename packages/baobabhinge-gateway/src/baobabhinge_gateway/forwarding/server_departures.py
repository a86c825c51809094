"""Backend servers that have told on their answers that they are leaving.

Load pattern: servers are replaced while the store, which would list them as
leaving, is unreachable or late.
"""

from collections import OrderedDict
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer

# Longest time for which a server serves on after it has told of its end.
DEFAULT_NOTICE = timedelta(seconds=4)
# Between the arrival of a call at this gateway and at the server.
SENDING_MARGIN = timedelta(milliseconds=250)
# Without the start of an incarnation, a server that starts again under its name
# is not told from the one that left; servers end long before.
RETENTION = timedelta(minutes=10)
MAX_SERVERS = 4096

Incarnation = tuple[str, int]

log = structlog.get_logger(__name__)


class ServerDepartures:
    """Incarnations of servers that are leaving by their own account.

    What an answer told is not taken back by later answers, which may have begun
    before, nor by the list of servers.

    Parameters
    ----------
    clock : Clock
        Clock of the announcements.
    notice : timedelta, optional
        Time for which a server serves on.

    Attributes
    ----------
    notice : timedelta
        Time for which a server serves on.
    """

    __slots__ = ('_clock', '_told', 'notice')

    def __init__(
        self, clock: Clock, notice: timedelta = DEFAULT_NOTICE
    ) -> None:
        """Start without announcements."""
        self._clock = clock
        self.notice = notice
        self._told: OrderedDict[Incarnation, timedelta] = OrderedDict()

    def record(self, server: BackendServer) -> None:
        """Record that an answer of ``server`` told that it is leaving."""
        incarnation = _identify(server)
        if self._find(incarnation) is not None:
            return
        log.info('backend-server-leaving', server=server.name)
        self._told.pop(incarnation, None)
        self._told[incarnation] = self._clock.read_monotonic()
        while len(self._told) > MAX_SERVERS:
            self._told.popitem(last=False)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether ``server`` has told that it is leaving."""
        # Nearly always none is leaving.
        return bool(self._told) and self._find(_identify(server)) is not None

    def may_serve_last(self, server: BackendServer) -> bool:
        """Return whether ``server`` may get calls that no other can take."""
        told = self._find(_identify(server))
        if told is None:
            return True
        elapsed = self._clock.read_monotonic() - told
        return elapsed < self.notice - SENDING_MARGIN

    def _find(self, incarnation: Incarnation) -> timedelta | None:
        told = self._told.get(incarnation)
        if told is None:
            return None
        if self._clock.read_monotonic() - told > RETENTION:
            self._told.pop(incarnation)
            return None
        return told


def _identify(server: BackendServer) -> Incarnation:
    return server.name, server.started
