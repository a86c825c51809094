"""Servers that fall over when they have to turn too many calls away.

Load pattern: a service tells on all answers how many calls one of its servers
turns away in a second without falling over, and has less room than before,
while callers keep sending to all gateways.
"""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call_pacing import CallPacer
from baobabhinge_gateway.forwarding.server_limits import LimitTable

# Fraction of the refusals that all gateways together cause: the rest is for
# gateways that know little of each other.
REFUSAL_FRACTION = 0.5
# A server that stands none gets a call after some seconds all the same.
MIN_REFUSAL_RATE = 0.2
# When a place becomes free is not known; calls are short against this.
PLACE_PAUSE = timedelta(milliseconds=200)


class BrittleServers:
    """Brittle services, and the places of their servers for this gateway.

    A gateway has no more calls at a server than its share of the slots, so that
    all of them together make none wait, and none is turned away.

    Parameters
    ----------
    clock : Clock
        Clock of the statements.

    Attributes
    ----------
    gateway_count : int
        Gateways that share the slots of a server.
    table : LimitTable
        Refusals in a second that a server of each brittle service stands.
    """

    __slots__ = ('_pacer', 'gateway_count', 'table')

    def __init__(self, clock: Clock) -> None:
        """Start without brittle services."""
        self._pacer = CallPacer(clock)
        self.table = LimitTable(clock, 'refusals')
        self.gateway_count = 1

    def find(self, service: str) -> float | None:
        """Return how many refusals a server stands; ``None`` for any number."""
        return self.table.find(service)

    def compute_share(self, server: BackendServer) -> int:
        """Return how many places of a server are for this gateway.

        0 if there are more gateways than places: one of them sends all calls.
        """
        return server.slots // max(1, self.gateway_count)

    def compute_pause(self, server: BackendServer) -> timedelta:
        """Return the time until ``server`` may get a call, as far as known."""
        return max(PLACE_PAUSE, self._pacer.compute_pause(server.name))

    def is_resting(self, server: BackendServer) -> bool:
        """Return whether ``server`` has turned a call away just now."""
        return bool(self._pacer.compute_pause(server.name))

    def record_refusal(self, server: BackendServer) -> None:
        """Record that ``server`` has turned a call of this gateway away."""
        stands = self.find(server.service)
        if stands is not None:
            rate = stands * REFUSAL_FRACTION / max(1, self.gateway_count)
            self._pacer.record_call(server.name, max(MIN_REFUSAL_RATE, rate))
