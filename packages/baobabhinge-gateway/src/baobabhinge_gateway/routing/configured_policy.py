"""Routing policy that follows the settings in force."""

from collections.abc import Sequence
from typing import Protocol

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Decision
from baobabhinge_gateway.routing.registry import (
    PolicyContext,
    RoutingPolicy,
    create_policy,
)
from baobabhinge_gateway.routing.targets import RoutingTarget

DEFAULT_POLICY = 'estimated-latency'


class PolicySource(Protocol):
    """Provider of the name of the configured policy."""

    def find_policy_name(self) -> str | None:
        """Return the name of the configured policy, if any."""


class ConfiguredPolicy:
    """Delegate each call to the policy that is configured at the time.

    A policy is created when it is first needed and keeps its state while
    another one is configured.

    Parameters
    ----------
    source : PolicySource
        Provider of the name of the policy.
    context : PolicyContext
        Collaborators of the policies.
    """

    __slots__ = ('_context', '_policies', '_source')

    def __init__(self, source: PolicySource, context: PolicyContext) -> None:
        """Start without policies."""
        self._source = source
        self._context = context
        self._policies: dict[str, RoutingPolicy] = {}

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the decision of the configured policy."""
        return self._find_policy().rank(call, targets)

    def _find_policy(self) -> RoutingPolicy:
        name = self._source.find_policy_name() or DEFAULT_POLICY
        if name not in self._policies:
            self._policies[name] = create_policy(name, self._context)
        return self._policies[name]
