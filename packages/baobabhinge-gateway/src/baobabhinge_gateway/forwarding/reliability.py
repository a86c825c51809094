"""Failure rates of backend servers, and servers suspected to have failed.

Load pattern: servers that fail some of their calls while their health check
passes, and servers whose connections broke and that may have restarted.
"""

from datetime import timedelta

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.server_reach import ServerReach

# Weight of the newest outcome: about the last fifteen outcomes count.
NEWEST_FRACTION = 0.07
# Failure rates halve in this time, so that a server gets calls again.
HALF_LIFE = timedelta(seconds=4)
# Site files: up to 14 of 100 repeatable calls fail at a healthy server, and
# the rate varies by 0.07; faulty servers fail 40 of 100 calls or more.
NORMAL_FAILURE_RATE = 0.35
# Added to the expected wait of a server that fails all of its calls.
MAX_PENALTY = timedelta(seconds=4)
NO_PENALTY = timedelta()

log = structlog.get_logger(__name__)


class _FailureRate(msgspec.Struct):
    rate: float
    updated: timedelta


class ServerReliability:
    """Track failure rates, and servers that are suspected to have failed.

    Parameters
    ----------
    clock : Clock
        Timestamps the outcomes.

    Attributes
    ----------
    reach : ServerReach
        Servers that this gateway does not reach.
    suspected : set of str
        Servers that get no calls until a health check passes.
    """

    __slots__ = ('_clock', '_rates', 'reach', 'suspected')

    def __init__(self, clock: Clock) -> None:
        """Start without outcomes and without suspected servers."""
        self._clock = clock
        self._rates: dict[str, _FailureRate] = {}
        self.reach = ServerReach(clock)
        self.suspected: set[str] = set()

    def suspect(self, server: str, reason: str) -> None:
        """Send no calls to ``server`` until a health check passes.

        Parameters
        ----------
        server : str
            Name of the server.
        reason : str
            Cause, for the log.
        """
        if server not in self.suspected:
            log.info('backend-server-suspected', server=server, reason=reason)
            self.suspected.add(server)

    def suspect_unreached(self, server: str, reason: str) -> None:
        """Suspect a ``server`` to which a connection failed; see `suspect`."""
        self.suspect(server, reason)
        self.reach.record_unreached(server)

    def clear(self, server: str) -> None:
        """Clear the suspicion of a ``server`` that passed a health check."""
        if server in self.suspected:
            log.info('backend-server-cleared', server=server)
            self.suspected.discard(server)

    def record_outcome(self, server: str, *, has_failed: bool) -> None:
        """Record the outcome of one call to ``server``."""
        rate = self._read_rate(server)
        rate += NEWEST_FRACTION * (float(has_failed) - rate)
        self._rates[server] = _FailureRate(rate, self._clock.read_monotonic())

    def compute_penalty(self, server: str) -> timedelta:
        """Return the time to add to the expected wait of ``server``.

        It is 0 up to the failure rate of a healthy server.
        """
        recorded = self._rates.get(server)
        if recorded is None or recorded.rate <= NORMAL_FAILURE_RATE:
            # Rates only fall with time.
            return NO_PENALTY
        excess = max(0, self._read_rate(server) - NORMAL_FAILURE_RATE)
        return MAX_PENALTY * excess / (1 - NORMAL_FAILURE_RATE)

    def _read_rate(self, server: str) -> float:
        recorded = self._rates.get(server)
        if recorded is None:
            return 0
        age = self._clock.read_monotonic() - recorded.updated
        remaining: float = 0.5 ** (age / HALF_LIFE)
        return recorded.rate * remaining
