"""Simple policies, as baselines for comparison with other policies."""

from collections.abc import Iterable, Sequence
from itertools import count

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Candidate, Decision
from baobabhinge_gateway.routing.registry import PolicyContext, register_policy
from baobabhinge_gateway.routing.targets import RoutingTarget


@register_policy('round-robin')
class RoundRobinPolicy:
    """Use all targets, local and remote, in turn."""

    __slots__ = ('_turns',)

    def __init__(self, context: PolicyContext) -> None:
        """Start with the first target."""
        self._turns = count()

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the targets, rotated by one more at each call."""
        if not targets:
            return Decision(())
        start = next(self._turns) % len(targets)
        return _build_decision([*targets[start:], *targets[:start]])


@register_policy('least-in-flight')
class LeastInFlightPolicy:
    """Prefer the target with the fewest calls in flight in any region."""

    __slots__ = ('_random',)

    def __init__(self, context: PolicyContext) -> None:
        """Store the generator that breaks ties."""
        self._random = context.random

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the targets by calls in flight, ties in random order."""
        shuffled = self._random.sample(targets, len(targets))
        return _build_decision(sorted(shuffled, key=_get_in_flight))


@register_policy('home-only')
class HomeOnlyPolicy:
    """Prefer the local target with the fewest calls in flight."""

    __slots__ = ('_random',)

    def __init__(self, context: PolicyContext) -> None:
        """Store the generator that breaks ties."""
        self._random = context.random

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the local targets by calls in flight."""
        local = [target for target in targets if not target.is_remote]
        shuffled = self._random.sample(local, len(local))
        return _build_decision(sorted(shuffled, key=_get_in_flight))


def _build_decision(targets: Iterable[RoutingTarget]) -> Decision:
    return Decision(tuple(Candidate(target) for target in targets))


def _get_in_flight(target: RoutingTarget) -> int:
    return target.in_flight
