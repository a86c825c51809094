"""Routing decision for a call."""

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
    """Rank the targets of calls that arrive in the local region.

    Parameters
    ----------
    finder : TargetFinder
        Source of the targets of a call.
    policy : RoutingPolicy
        Policy that orders the targets.
    admission : AdmissionCheck
        Check that refuses calls which would be answered too late.
    decisions : DecisionLog
        Log of the decisions.
    """

    __slots__ = ('_admission', '_finder', '_policy', 'decisions')

    def __init__(
        self,
        finder: TargetFinder,
        policy: RoutingPolicy,
        admission: AdmissionCheck,
        decisions: DecisionLog,
    ) -> None:
        """Store the collaborators."""
        self._admission = admission
        self._finder = finder
        self._policy = policy
        self.decisions = decisions

    def decide(self, call: Call) -> Decision:
        """Return the ranked candidates of ``call``.

        Raises
        ------
        RegionBoundError
            If the call is bound to regions and can't be run in them.
        NoBackendServerError
            If no backend server of the service is available.
        ModelNotLoadedError
            If backend servers are available, and none has loaded the version.
        OverloadedError
            If the call would be answered too late.
        WorkspaceShareError
            If the service is full and the workspace exceeds its share.
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
            self._admission.check(call, decision)
            return
        if call.terms.regions is not None:
            raise RegionBoundError(
                'no backend server is available in the bound regions'
            )
        if decision.blocked or not self._finder.list_local_servers(call):
            raise NoBackendServerError(
                'no backend server is available for the call'
            )
        raise ModelNotLoadedError('no engine has loaded the requested version')
