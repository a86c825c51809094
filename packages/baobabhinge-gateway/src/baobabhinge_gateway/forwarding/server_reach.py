"""Which backend servers this gateway can reach.

Load pattern: the links of a gateway to all backend servers of its region fail,
while callers, the store and other gateways still reach it. Its servers are
sound, and other gateways reach them.
"""

from collections.abc import Iterable
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock

# So many servers that became unreachable since one was reached show that the
# links are gone and not the servers; fewer do if the region has no more.
MANY_SERVERS = 8
# Within a third of the time after which callers of such a gateway are to be
# served as well as others.
LONGEST_DOUBT = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class ServerReach:
    """Track the servers that became unreachable since any was reached.

    Parameters
    ----------
    clock : Clock
        Clock of the answers.

    Attributes
    ----------
    unreached : set of str
        Their names.
    """

    __slots__ = ('_clock', '_is_logged', '_latest', 'unreached')

    def __init__(self, clock: Clock) -> None:
        """Start without doubt in any link."""
        self.unreached: set[str] = set()
        self._clock = clock
        self._latest = clock.read_monotonic()
        self._is_logged = False

    def record_reached(self) -> None:
        """Record that a server of the region answered this gateway."""
        if self._is_logged:
            log.warning('servers-reached-again')
            self._is_logged = False
        self.unreached.clear()
        self._latest = self._clock.read_monotonic()

    def record_unreached(self, server: str) -> None:
        """Record that a connection to ``server`` broke, or was not made."""
        self.unreached.add(server)

    def is_doubtful(self) -> bool:
        """Return whether it is to be found out what can be reached."""
        silence = self._clock.read_monotonic() - self._latest
        return bool(self.unreached) and silence > LONGEST_DOUBT

    def is_partitioned(self, servers: Iterable[str]) -> bool:
        """Return whether this gateway reaches none of ``servers``.

        Parameters
        ----------
        servers : iterable of str
            Names of the servers of its region.
        """
        if not self.unreached:
            return False
        expected = set(servers)
        enough = min(len(expected), MANY_SERVERS)
        missing = len(self.unreached & expected)
        is_partitioned = bool(expected) and missing >= enough
        if is_partitioned and not self._is_logged:
            log.warning('servers-unreached', servers=sorted(self.unreached))
            self._is_logged = True
        return is_partitioned
