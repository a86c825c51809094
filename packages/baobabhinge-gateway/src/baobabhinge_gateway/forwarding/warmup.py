"""How fast cold backend servers may be sent calls.

Load pattern: a region whose servers come back together, all cold, while its
callers press.
"""

from collections.abc import Sequence
from datetime import timedelta

import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer

# Servers bear half as much again, and three calls more in a second; so two
# gateways that disagree about who may send stay below that together.
PACE_SHARE = 1.0
SECOND = timedelta(seconds=1)


class WarmUpLimiter:
    """Which servers are cold, and when the next call may go to each.

    Parameters
    ----------
    clock : Clock
        Clock of the pace.
    """

    __slots__ = ('_clock', '_cold_until', '_next')

    def __init__(self, clock: Clock) -> None:
        """Know no cold server."""
        self._clock = clock
        self._cold_until: dict[str, timedelta] = {}
        self._next: dict[str, timedelta] = {}

    def record_cold(self, server: str, cold_for: timedelta) -> None:
        """Note how much longer ``server`` is cold."""
        if cold_for > timedelta():
            until = self._clock.read_monotonic() + cold_for
            known = self._cold_until.get(server, timedelta())
            self._cold_until[server] = max(known, until)

    def record_warm(self, server: str) -> None:
        """Note that ``server`` says that it is not cold."""
        self._cold_until.pop(server, None)

    def is_cold(self, server: str) -> bool:
        """Whether ``server`` is cold as far as known."""
        until = self._cold_until.get(server)
        return until is not None and self._clock.read_monotonic() < until

    def may_send(self, server: str) -> bool:
        """Whether a call may go to the cold ``server`` now."""
        now = self._clock.read_monotonic()
        return now >= self._next.get(server, timedelta())

    def record_call(self, server: str, rate: float) -> None:
        """Count a call to the cold ``server`` that bears ``rate`` a second."""
        pause = SECOND / (rate * PACE_SHARE)
        self._next[server] = self._clock.read_monotonic() + pause


def choose_warm_up_gateway(
    server: BackendServer, gateways: Sequence[str]
) -> str:
    """Return the gateway that alone may send to a cold ``server``.

    Parameters
    ----------
    server : BackendServer
        A cold server.
    gateways : sequence of str
        Names of the live gateways of its region.

    Notes
    -----
    Rendezvous hashing: gateways that see the same members agree without a
    message.
    """
    return max(
        gateways,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'{server.name}/{name}'.encode()
        ),
    )
