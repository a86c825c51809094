"""Decision whether a server that asks for fewer calls may get another one.

Load pattern: a server in need names fewer calls per second than callers send,
through any of several gateways, or wants none for a while.
"""

from datetime import timedelta

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.server_limits import (
    MIN_RATE,
    RATE_FRACTION,
)
from baobabhinge_gateway.forwarding.server_load import NO_LOAD

NO_TIME = timedelta()
SECOND = timedelta(seconds=1)


class SendGate:
    """Keep what is sent to servers within their limits and out of their pauses.

    A limit holds for the sum of what all gateways send: one gateway of the
    region sends all calls to the server. The others choose another server, or
    forward to that gateway.

    Parameters
    ----------
    state : DeploymentState
        Holds limits and pauses, and the times of the calls that were sent.
    directory : RegionDirectory
        Names the gateway that may send to a server.

    Attributes
    ----------
    pauses : ServerPauses
        Servers that want no requests for a while.
    """

    __slots__ = ('_brittle', '_directory', '_limits', '_loads', 'pauses')

    def __init__(
        self, state: DeploymentState, directory: RegionDirectory
    ) -> None:
        """Store the collaborators."""
        self._brittle = state.statements.brittle
        self._limits = state.statements.limits
        self._loads = state.loads
        self.pauses = state.statements.pauses
        self._directory = directory

    def is_limited(self, server: BackendServer) -> bool:
        """Return whether ``server`` names a limit, or is brittle."""
        is_brittle = self._brittle.find(server.service) is not None
        return is_brittle or self._limits.find(server.name) is not None

    def may_send(self, server: BackendServer) -> bool:
        """Return whether this gateway may send a request to ``server`` now."""
        if not self.pauses.may_send(server) or not self._has_place(server):
            return False
        return self._limits.find(server.name) is None or (
            self._directory.is_sole_sender(server)
            and not self._limits.pacer.compute_pause(server.name)
        )

    def record_send(self, server: BackendServer) -> None:
        """Record a request to ``server`` if it names a limit."""
        rate = self._limits.find(server.name)
        if rate is not None:
            allowed = max(MIN_RATE, rate * RATE_FRACTION)
            self._limits.pacer.record_call(server.name, allowed)

    def compute_pause(self, server: BackendServer) -> timedelta:
        """Return the time until ``server`` may get a call, as far as known."""
        if self._limits.find(server.name) is None:
            return self._brittle.compute_pause(server)
        if self._directory.is_sole_sender(server):
            return self._limits.pacer.compute_pause(server.name)
        rate = self._limits.find(server.name)
        return NO_TIME if rate is None else SECOND / max(MIN_RATE, rate)

    def _has_place(self, server: BackendServer) -> bool:
        if self._brittle.find(server.service) is None:
            return True
        if self._brittle.is_resting(server):
            return False
        share = self._brittle.compute_share(server)
        if not share and self._directory.is_sole_sender(server):
            share = server.slots
        if not self._directory.gateways.stalls.is_settled():
            # The other gateways are not known yet.
            share = min(share, 1)
        return self._loads.own.get(server.name, NO_LOAD).calls < share
