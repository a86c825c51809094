"""Deciding where a call runs, or why it does not."""

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import (
    CallError,
    ModelNotLoadedError,
    NoBackendServerError,
    RegionBoundError,
)
from baobabhinge_gateway.routing.decision_log import DecisionLog
from baobabhinge_gateway.routing.decisions import Decision
from baobabhinge_gateway.routing.discovery import TargetFinder
from baobabhinge_gateway.routing.protocols import AdmissionCheck
from baobabhinge_gateway.routing.registry import RoutingPolicy


class Router:
    """Rank the targets of calls that arrive in one region.

    Parameters
    ----------
    finder : TargetFinder
        Lists the targets.
    policy : RoutingPolicy
        Order of the targets.
    gate : AdmissionCheck
        Refuses what would be answered late.
    decisions : DecisionLog
        Where decisions are recorded.
    """

    __slots__ = ('_finder', '_gate', '_policy', 'decisions')

    def __init__(
        self,
        finder: TargetFinder,
        policy: RoutingPolicy,
        gate: AdmissionCheck,
        decisions: DecisionLog,
    ) -> None:
        """Keep the parts."""
        self._gate = gate
        self._finder = finder
        self._policy = policy
        self.decisions = decisions

    def decide(self, call: Call) -> Decision:
        """Return the ranked candidates of ``call``.

        Raises
        ------
        RegionBoundError
            If the call is bound to a region and can't be run there.
        NoBackendServerError
            If no backend server of the service may take it.
        ModelNotLoadedError
            If some may, and none holds the version.
        OverloadedError
            If it would be answered too late.
        WorkspaceShareError
            If its workspace has more than its share of a full service.
        """
        decision = self._policy.rank(call, self._finder.list_targets(call))
        try:
            self._check(call, decision)
        except CallError as refused:
            self.decisions.add(call, decision, refused.code)
            raise
        self.decisions.add(call, decision)
        return decision

    def _check(self, call: Call, decision: Decision) -> None:
        if decision.candidates:
            self._gate.check(call, decision)
            return
        if call.terms.regions is not None:
            raise RegionBoundError('the bound region has no backend server')
        if decision.blocked or not self._finder.list_local_servers(call):
            raise NoBackendServerError('no backend server may take the call')
        raise ModelNotLoadedError('no engine has loaded the version')
