"""Choice of the gateways that check servers which may have become cold.

Load pattern: some or all of hundreds of gateways do not reach the store, and
each would check each server of its region several times a second.
"""

from collections.abc import Iterable, Sequence

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.state_updater import StateUpdater
from baobabhinge_gateway.forwarding.warmup import (
    MILLISECOND,
    ColdReport,
    WarmUpLimiter,
    rank_senders,
)
from baobabhinge_gateway.neighbours import GatewayTable

# Gateways of a region that check one server while the store fails for all. They
# tell the others with their heartbeats; one of them may be lost.
CHECKERS = 3


class CheckSharing:
    """Decide which servers this gateway checks for all.

    Parameters
    ----------
    gateways : GatewayTable
        Live gateways, and whether they reach the store.
    updater : StateUpdater
        Says whether this gateway reaches the store.
    """

    __slots__ = ('_gateways', '_updater')

    def __init__(self, gateways: GatewayTable, updater: StateUpdater) -> None:
        """Store the collaborators."""
        self._gateways = gateways
        self._updater = updater

    def is_checker(self, server: BackendServer) -> bool:
        """Return whether this gateway is to check ``server``.

        It is not, if it alone lacks the store: others tell it of changes.
        """
        if self._is_told_by_others():
            return False
        names = self._gateways.list_names(self._gateways.own.region)
        return self._gateways.own.name in rank_senders(server, names)[:CHECKERS]

    def list_cold(self, state: DeploymentState) -> Sequence[ColdReport]:
        """Return the cold servers to tell, if the store tells nobody."""
        if state.catalogue.is_store_stable or self._is_told_by_others():
            return ()
        return state.warmup.export()

    def _is_told_by_others(self) -> bool:
        if self._updater.is_store_reachable:
            return False
        return any(
            heartbeat.hears_store for heartbeat in self._gateways.list_live()
        )


def merge_cold(limiter: WarmUpLimiter, reports: Iterable[ColdReport]) -> None:
    """Record the cold servers that another gateway tells."""
    for report in reports:
        limiter.record_cold(report.server, report.left_ms * MILLISECOND)
