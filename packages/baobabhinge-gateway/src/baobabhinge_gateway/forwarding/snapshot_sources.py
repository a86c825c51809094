"""Choice of the gateway that is asked for state."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.state_parts import StatePart
from baobabhinge_gateway.forwarding.watchers import list_watchers
from baobabhinge_gateway.neighbours import Heartbeat

# A gateway that did not answer in time may be cut off, or its link may be full.
AVOIDANCE = timedelta(seconds=2)


class SnapshotSources:
    """Gateways that know newer changes than this one.

    Parameters
    ----------
    core : GatewayCore
        State of this gateway.
    """

    __slots__ = ('_avoided', '_core')

    def __init__(self, core: GatewayCore) -> None:
        """Avoid no gateway."""
        self._core = core
        self._avoided: dict[str, timedelta] = {}

    def list_newer(self, part: StatePart) -> Sequence[Heartbeat]:
        """Return the heartbeats of live gateways that know newer changes.

        Parameters
        ----------
        part : StatePart
            Part of the state that has changed.
        """
        known_to = part.read(self._core.updater.known_to)
        return [
            heartbeat
            for heartbeat in self._core.gateways.list_live()
            if part.read(heartbeat.marks) > known_to
        ]

    def choose(self, part: StatePart) -> Heartbeat | None:
        """Return the heartbeat of a gateway to ask, ``None`` for none.

        Other regions are left out if the local region has such a gateway, and
        those that did not answer if others have the state.

        Parameters
        ----------
        part : StatePart
            Part of the state to ask for.
        """
        newer = self.list_newer(part)
        local = [one for one in newer if self.is_local(one)]
        candidates = local or newer
        if not candidates:
            return None
        now = self._core.ingress.clock.read_monotonic()
        answering = [
            one
            for one in candidates
            if now >= self._avoided.get(one.name, timedelta())
        ]
        return self._core.ingress.random.choice(answering or candidates)

    def are_for_watchers(self, part: StatePart) -> bool:
        """Return whether only other regions know a change, and others watch.

        Parameters
        ----------
        part : StatePart
            Part of the state that has changed.
        """
        newer = self.list_newer(part)
        if not newer or any(map(self.is_local, newer)):
            return False
        gateways = self._core.gateways
        return gateways.own.name not in list_watchers(gateways)

    def is_local(self, source: Heartbeat) -> bool:
        """Return whether a gateway is in the region of this one."""
        return source.region == self._core.settings.own.region

    def avoid(self, source: Heartbeat) -> None:
        """Record that a gateway has not answered in time."""
        now = self._core.ingress.clock.read_monotonic()
        self._avoided = {
            name: end for name, end in self._avoided.items() if end > now
        }
        self._avoided[source.name] = now + AVOIDANCE
