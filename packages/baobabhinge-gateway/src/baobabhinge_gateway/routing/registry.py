"""Registry of routing policies."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import GatewayError
from baobabhinge_gateway.routing.decisions import Decision
from baobabhinge_gateway.routing.estimates import Estimator
from baobabhinge_gateway.routing.limits import CandidateLimits
from baobabhinge_gateway.routing.objective import ObjectiveSource
from baobabhinge_gateway.routing.targets import RoutingTarget


class RoutingPolicy(Protocol):
    """Policy that orders the targets of a call."""

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the candidates that may be tried, the best one first."""


class PolicyContext:
    """Collaborators that are given to every routing policy.

    Attributes
    ----------
    clock : Clock
        Clock for the state of policies.
    random : Random
        Generator that breaks ties.
    estimator : Estimator
        Estimates of the times at targets.
    limits : CandidateLimits
        Circuit breakers and link budgets.
    objectives : ObjectiveSource
        Goals and weights of services.
    """

    __slots__ = ('clock', 'estimator', 'limits', 'objectives', 'random')

    def __init__(
        self,
        clock: Clock,
        random: Random,
        estimator: Estimator,
        limits: CandidateLimits,
        objectives: ObjectiveSource,
    ) -> None:
        """Store the collaborators."""
        self.clock = clock
        self.random = random
        self.estimator = estimator
        self.limits = limits
        self.objectives = objectives


PolicyFactory = Callable[[PolicyContext], RoutingPolicy]
FACTORIES: dict[str, PolicyFactory] = {}


class UnknownPolicyError(GatewayError):
    """No routing policy is registered under the requested name."""


def register_policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under ``name``."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        FACTORIES[name] = factory
        return factory

    return register


def create_policy(name: str, context: PolicyContext) -> RoutingPolicy:
    """Return a new policy of the kind registered under ``name``.

    Raises
    ------
    UnknownPolicyError
        If there is none; the message lists the registered names.
    """
    factory = FACTORIES.get(name)
    if factory is None:
        known = ', '.join(sorted(FACTORIES))
        raise UnknownPolicyError(
            f'unknown routing policy {name}; known: {known}'
        )
    return factory(context)
