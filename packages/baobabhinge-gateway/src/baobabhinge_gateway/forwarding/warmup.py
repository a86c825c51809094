"""Rate limits for calls to cold backend servers.

Load pattern: a region whose servers return together, all of them cold, while
callers keep sending.
"""

from collections.abc import Iterable, Sequence
from datetime import timedelta

import msgspec
import xxhash

from baobabhinge_coordination.bounds import Milliseconds
from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call_pacing import CallPacer

# Fraction of the warm-up rate of a server that is used. Servers take 1.5 times
# their rate plus three calls a second, so two gateways that disagree about
# which one may send stay below that together.
RATE_FRACTION = 1.0
MILLISECOND = timedelta(milliseconds=1)


class ColdReport(msgspec.Struct, array_like=True, frozen=True):
    """A cold server, as another gateway knows it.

    Parameters
    ----------
    server : str
        Name of the server.
    left_ms : int
        How much longer it stays cold, in milliseconds.
    """

    server: str
    left_ms: Milliseconds


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

    def export(self) -> Sequence[ColdReport]:
        """Return the cold servers, for other gateways."""
        now = self._clock.read_monotonic()
        return tuple(
            ColdReport(server, (until - now) // MILLISECOND)
            for server, until in self._cold_until.items()
            if until > now
        )

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
    gateways: Iterable[str],
) -> str:
    """Return the only gateway that may send calls to a restricted ``server``.

    Parameters
    ----------
    server : BackendServer
        A server that is cold or names a limit.
    gateways : iterable of str
        Names of the live gateways of its region.
    """
    return rank_senders(server, gateways)[0]


def rank_senders(
    server: BackendServer,
    gateways: Iterable[str],
) -> Sequence[str]:
    """Return gateways in the order in which they act on a ``server`` for all.

    Parameters
    ----------
    server : BackendServer
        The server.
    gateways : iterable of str
        Names of the live gateways of its region.

    Notes
    -----
    Rendezvous hashing: gateways with the same list of gateways agree without
    messages.
    """
    return sorted(
        gateways,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'{server.name}/{name}'.encode()
        ),
        reverse=True,
    )
