"""The policy that the configuration in force names."""

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
    """Where the name of the policy comes from."""

    def find_policy_name(self) -> str | None:
        """Return the name that operators chose, if any."""


class ConfiguredPolicy:
    """Pass each call to the policy in force; each keeps its own state.

    Parameters
    ----------
    source : PolicySource
        Where the name of the policy comes from.
    parts : PolicyContext
        What policies decide from.
    """

    __slots__ = ('_parts', '_policies', '_source')

    def __init__(self, source: PolicySource, parts: PolicyContext) -> None:
        """Create no policy yet."""
        self._source = source
        self._parts = parts
        self._policies: dict[str, RoutingPolicy] = {}

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return what the policy in force decides."""
        return self._find_policy().rank(call, targets)

    def _find_policy(self) -> RoutingPolicy:
        name = self._source.find_policy_name() or DEFAULT_POLICY
        if name not in self._policies:
            self._policies[name] = create_policy(name, self._parts)
        return self._policies[name]
