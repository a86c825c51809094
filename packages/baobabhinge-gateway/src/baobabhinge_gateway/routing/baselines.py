"""Plain policies, kept to measure the others against."""

from collections.abc import Iterable, Sequence
from itertools import count

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Candidate, Decision
from baobabhinge_gateway.routing.registry import PolicyContext, register_policy
from baobabhinge_gateway.routing.targets import RoutingTarget


@register_policy('round-robin')
class RoundRobinPolicy:
    """Every target of every region in turn."""

    __slots__ = ('_turns',)

    def __init__(self, parts: PolicyContext) -> None:
        """Start with the first target."""
        self._turns = count()

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the targets, rotated by one more each time."""
        if not targets:
            return Decision(())
        start = next(self._turns) % len(targets)
        return _wrap([*targets[start:], *targets[:start]])


@register_policy('least-in-flight')
class LeastInFlightPolicy:
    """The fewest calls in flight, whatever the region."""

    __slots__ = ('_random',)

    def __init__(self, parts: PolicyContext) -> None:
        """Keep the generator that breaks ties."""
        self._random = parts.random

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Order by calls in flight, at random among equals."""
        shuffled = self._random.sample(targets, len(targets))
        return _wrap(sorted(shuffled, key=_get_in_flight))


@register_policy('home-only')
class HomeOnlyPolicy:
    """The fewest calls in flight among the servers of the home region."""

    __slots__ = ('_random',)

    def __init__(self, parts: PolicyContext) -> None:
        """Keep the generator that breaks ties."""
        self._random = parts.random

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Order the local targets by calls in flight."""
        local = [target for target in targets if not target.is_remote]
        shuffled = self._random.sample(local, len(local))
        return _wrap(sorted(shuffled, key=_get_in_flight))


def _wrap(targets: Iterable[RoutingTarget]) -> Decision:
    return Decision(tuple(Candidate(target) for target in targets))


def _get_in_flight(target: RoutingTarget) -> int:
    return target.in_flight
