"""Which backend servers deserve calls, by what they did lately.

Load pattern: servers that fail part of their calls while their health check is
good, and servers whose connections broke and that may have restarted.
"""

from datetime import timedelta

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock

# Weight of the newest outcome: about the last fifteen count.
NEWEST_SHARE = 0.07
# A failure is forgotten in this time, so that a server is tried again.
HALF_LIFE = timedelta(seconds=4)
# Site files: up to 14 of 100 repeatable calls fail at a sound server, and the
# rate swings by 0.07; servers that fail for a reason fail 40 of 100 and more.
SOUND_RATE = 0.35
# A server that fails all of its calls looks this much slower than its peers.
FULL_PENALTY = timedelta(seconds=4)

log = structlog.get_logger(__name__)


class _Record(msgspec.Struct):
    rate: float
    noted: timedelta


class ServerReliability:
    """Failure rates, and servers that must pass a health check first.

    Parameters
    ----------
    clock : Clock
        Dates the outcomes.

    Attributes
    ----------
    suspected : set of str
        Servers that get nothing until a health check is good.
    """

    __slots__ = ('_clock', '_records', 'suspected')

    def __init__(self, clock: Clock) -> None:
        """Trust every server."""
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self.suspected: set[str] = set()

    def suspect(self, server: str, reason: str) -> None:
        """Send nothing to ``server`` until a health check is good."""
        if server not in self.suspected:
            log.info('backend-server-suspected', server=server, reason=reason)
            self.suspected.add(server)

    def clear(self, server: str) -> None:
        """Take a good health check."""
        if server in self.suspected:
            log.info('backend-server-cleared', server=server)
            self.suspected.discard(server)

    def record_outcome(self, server: str, *, has_failed: bool) -> None:
        """Take the outcome of one call."""
        rate = self._read_rate(server)
        rate += NEWEST_SHARE * (float(has_failed) - rate)
        self._records[server] = _Record(rate, self._clock.read_monotonic())

    def compute_penalty(self, server: str) -> timedelta:
        """Return the time by which failures make ``server`` look slower."""
        excess = max(0, self._read_rate(server) - SOUND_RATE)
        return FULL_PENALTY * excess / (1 - SOUND_RATE)

    def _read_rate(self, server: str) -> float:
        record = self._records.get(server)
        if record is None:
            return 0
        age = self._clock.read_monotonic() - record.noted
        kept: float = 0.5 ** (age / HALF_LIFE)
        return record.rate * kept
