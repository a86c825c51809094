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
    """Order in which targets are tried."""

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the candidates worth trying, the best one first."""


class PolicyContext:
    """What policies decide from.

    Attributes
    ----------
    clock : Clock
        Clock of the decisions.
    random : Random
        Generator that breaks ties.
    estimator : Estimator
        Expected times of targets.
    limits : CandidateLimits
        Circuits and link budgets.
    objectives : ObjectiveSource
        Goals and weights.
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
        """Keep the parts."""
        self.clock = clock
        self.random = random
        self.estimator = estimator
        self.limits = limits
        self.objectives = objectives


PolicyFactory = Callable[[PolicyContext], RoutingPolicy]
FACTORIES: dict[str, PolicyFactory] = {}


class UnknownPolicyError(GatewayError):
    """No routing policy has this name."""


def register_policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under ``name``."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        FACTORIES[name] = factory
        return factory

    return register


def create_policy(name: str, parts: PolicyContext) -> RoutingPolicy:
    """Return the policy called ``name``.

    Raises
    ------
    UnknownPolicyError
        If there is none; the message lists the known names.
    """
    factory = FACTORIES.get(name)
    if factory is None:
        known = ', '.join(sorted(FACTORIES))
        raise UnknownPolicyError(f'no policy is called {name}; known: {known}')
    return factory(parts)
