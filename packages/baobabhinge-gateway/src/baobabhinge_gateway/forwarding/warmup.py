"""Rate limits for calls to cold backend servers.

Load pattern: a region whose servers return together, all of them cold, while
callers keep sending.
"""

from collections.abc import Sequence
from datetime import timedelta

import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call_pacing import CallPacer

# Fraction of the warm-up rate of a server that is used. Servers take 1.5 times
# their rate plus three calls a second, so two gateways that disagree about
# which one may send stay below that together.
RATE_FRACTION = 1.0


class WarmUpLimiter:
    """Track cold servers, and when each may get its next call.

    Parameters
    ----------
    clock : Clock
        Clock of the limits.
    """

    __slots__ = ('_clock', '_cold_until', '_pacer')

    def __init__(self, clock: Clock) -> None:
        """Start without cold servers."""
        self._clock = clock
        self._cold_until: dict[str, timedelta] = {}
        self._pacer = CallPacer(clock)

    def record_cold(self, server: str, cold_for: timedelta) -> None:
        """Record that ``server`` stays cold for ``cold_for``.

        A shorter time than the one recorded before has no effect.
        """
        if cold_for > timedelta():
            until = self._clock.read_monotonic() + cold_for
            recorded = self._cold_until.get(server, timedelta())
            self._cold_until[server] = max(recorded, until)

    def record_warm(self, server: str) -> None:
        """Record that ``server`` reports that it is warm."""
        self._cold_until.pop(server, None)

    def is_cold(self, server: str) -> bool:
        """Return whether the cold time of ``server`` has not ended."""
        until = self._cold_until.get(server)
        return until is not None and self._clock.read_monotonic() < until

    def may_send(self, server: str) -> bool:
        """Return whether the limit allows a call to a cold ``server`` now."""
        return not self._pacer.compute_pause(server)

    def record_call(self, server: str, rate: float) -> None:
        """Record a call to a cold server, which delays the next one.

        Parameters
        ----------
        server : str
            Name of the server.
        rate : float
            Calls per second that it takes while it is cold.
        """
        self._pacer.record_call(server, rate * RATE_FRACTION)


def choose_sole_sender(
    server: BackendServer,
    gateways: Sequence[str],
) -> str:
    """Return the only gateway that may send calls to a restricted ``server``.

    Parameters
    ----------
    server : BackendServer
        A server that is cold or names a limit.
    gateways : sequence of str
        Names of the live gateways of its region.

    Notes
    -----
    Rendezvous hashing: gateways with the same list of gateways agree without
    messages.
    """
    return max(
        gateways,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'{server.name}/{name}'.encode()
        ),
    )
