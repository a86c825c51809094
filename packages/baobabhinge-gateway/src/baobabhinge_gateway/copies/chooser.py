"""Choice of the server that gets a second copy of a call."""

from collections.abc import Collection
from datetime import timedelta

from baobabhinge_gateway.copies.rules import choose_second
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.crashing_calls import CrashingCallError
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.send_gate import SendGate
from baobabhinge_gateway.forwarding.targets import Target


class SecondChooser:
    """Choose another server of the same region.

    Parameters
    ----------
    state : DeploymentState
        Servers, and requests under which servers ended.
    directory : RegionDirectory
        Creates the target.
    """

    __slots__ = ('_directory', '_gate', '_placement', '_state')

    def __init__(
        self, state: DeploymentState, directory: RegionDirectory
    ) -> None:
        """Store the collaborators."""
        self._state = state
        self._directory = directory
        self._gate = SendGate(state, directory)
        self._placement = Placement(state)

    def offers_copies(self, service: str) -> bool:
        """Return whether servers of ``service`` have reported a pace."""
        return self._state.pace.learning.reports_pace(service)

    def choose(
        self, call: Call, tried: Collection[str], usual: timedelta
    ) -> Target | None:
        """Return the target of a copy, or ``None`` if none is to be sent.

        Parameters
        ----------
        call : Call
            Call whose first attempt is slow.
        tried : collection of str
            Servers that got it already.
        usual : timedelta
            Wait at the first server, as it was estimated.
        """
        if not call.may_run_again or not self._is_sound(call):
            return None
        region = self._state.local_region
        best = choose_second(
            [
                estimate
                for estimate in self._placement.list_warm(call, region, tried)
                if self._gate.may_send(estimate.server)
                and not self._gate.is_limited(estimate.server)
            ],
            usual,
        )
        return self._directory.create_server_target(best) if best else None

    def _is_sound(self, call: Call) -> bool:
        """Return whether no servers ended while they ran the request."""
        try:
            self._state.crashes.check(call)
        except CrashingCallError:
            return False
        return True
