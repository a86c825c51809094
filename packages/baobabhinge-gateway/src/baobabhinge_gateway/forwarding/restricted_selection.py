"""Selection among servers that other calls avoid: leaving, cold, limited ones.

Load pattern: all servers of a region have just returned, are leaving or in
need, and no other region can take their calls.
"""

from collections.abc import Collection
from random import Random

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import (
    DeploymentState,
    list_available,
)
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.local_relays import LocalRelays
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.restricted_refusals import (
    RestrictedServers,
    build_refusal,
)
from baobabhinge_gateway.forwarding.send_gate import SendGate
from baobabhinge_gateway.forwarding.targets import Target


class RestrictedSelector:
    """Select a server that takes few calls, or the gateway that sends to it.

    Parameters
    ----------
    placement : Placement
        Estimates for the servers.
    directory : RegionDirectory
        Names the only gateway that may send to such a server.
    state : DeploymentState
        Holds the warm-up limits of cold servers.
    random : Random
        Generator that spreads the retries of callers.

    Attributes
    ----------
    gate : SendGate
        Decides which servers with a limit may get a call.
    relays : LocalRelays
        Gateways of the region that reach servers which this one does not.
    """

    __slots__ = (
        '_directory',
        '_placement',
        '_random',
        '_state',
        'gate',
        'relays',
    )

    def __init__(
        self,
        placement: Placement,
        directory: RegionDirectory,
        state: DeploymentState,
        random: Random,
    ) -> None:
        """Store the collaborators."""
        self._placement = placement
        self._directory = directory
        self._state = state
        self._random = random
        self.gate = SendGate(state, directory)
        self.relays = LocalRelays(placement, directory, state, random)

    def choose(self, call: Call, tried: Collection[str]) -> Target:
        """Return a target for a call that no other server can take.

        Parameters
        ----------
        call : Call
            The call.
        tried : collection of str
            Servers, gateways and regions that earlier attempts used.

        Raises
        ------
        NotServedError
            If there is none; it is a `ServersLimitedError` if the limits of
            servers are the reason.
        """
        if not call.allows(self._directory.local_region):
            raise build_refusal(
                call, RestrictedServers(), self.gate, self._random
            )
        departing = self._choose_departing(call, tried)
        if departing is not None:
            self.gate.record_send(departing.server)
            return self._directory.create_server_target(departing)
        cold = self._choose_cold(call, tried)
        if cold is not None:
            self._record_warm_up_call(call, cold)
            return self._directory.create_server_target(cold)
        return self._forward(call, self._list_restricted(call), tried)

    def _choose_departing(
        self, call: Call, tried: Collection[str]
    ) -> ServerEstimate | None:
        # The rest of a stream may take longer than the server serves on.
        if call.has_begun or call.head.last_event is not None:
            return None
        region = self._directory.local_region
        departing = self._placement.list_departing(call, region, tried)
        return min(
            (one for one in departing if self.gate.may_send(one.server)),
            key=lambda one: one.wait,
            default=None,
        )

    def _choose_cold(
        self, call: Call, tried: Collection[str]
    ) -> ServerEstimate | None:
        region = self._directory.local_region
        for estimate in self._placement.list_cold(call, region, tried):
            server = estimate.server
            if (
                self._state.warmup.may_send(server.name)
                and self._directory.is_sole_sender(server)
                and self.gate.may_send(server)
            ):
                return estimate
        return None

    def _record_warm_up_call(
        self, call: Call, estimate: ServerEstimate
    ) -> None:
        rate = self._state.find_warm_up_rate(call.service)
        self._state.warmup.record_call(estimate.server.name, rate)
        self.gate.record_send(estimate.server)

    def _list_restricted(self, call: Call) -> RestrictedServers:
        available = list_available(self._state, call.service)
        local = list(filter(self._state.is_local, available))
        return RestrictedServers(
            list(filter(self.gate.is_limited, local)),
            [one for one in local if not self.gate.pauses.may_send(one)],
        )

    def _forward(
        self,
        call: Call,
        servers: RestrictedServers,
        tried: Collection[str],
    ) -> Target:
        if not call.is_from_gateway:
            found = map(self._directory.find_sole_sender, servers.limited)
            targets = [
                target
                for target in found
                if target and target.name not in tried
            ]
            if targets:
                return self._random.choice(targets)
        raise build_refusal(call, servers, self.gate, self._random)
