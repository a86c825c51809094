"""Registry of routing policies, and the baselines."""

from collections.abc import Callable, Sequence
from random import Random

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import GatewayError
from baobabhinge_gateway.routing.targets import RoutingPolicy, Target

PolicyFactory = Callable[[Random], RoutingPolicy]
FACTORIES: dict[str, PolicyFactory] = {}


class UnknownPolicyError(GatewayError):
    """No routing policy has this name."""


def register_policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under ``name``."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        FACTORIES[name] = factory
        return factory

    return register


def create_policy(name: str, random: Random) -> RoutingPolicy:
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
    return factory(random)


@register_policy('least-in-flight')
class LeastInFlight:
    """The home region first, there the server with the fewest calls."""

    __slots__ = ('_random',)

    def __init__(self, random: Random) -> None:
        """Keep the generator that breaks ties."""
        self._random = random

    def rank(self, call: Call, targets: Sequence[Target]) -> list[Target]:
        """Order by region, then by calls in flight, then at random."""
        shuffled = self._random.sample(targets, len(targets))
        return sorted(shuffled, key=_weigh)


def _weigh(target: Target) -> tuple[bool, int]:
    return (target.is_remote, target.in_flight)
