"""Registry of orders in which prospects are tried."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random

from baobabhinge_gateway.errors import GatewayError
from baobabhinge_gateway.forwarding.estimates import ServerEstimate

# Prospects that differ by less are equal; the choice among them is random, so
# that gateways with the same stale view do not all choose one server.
TIE = timedelta(milliseconds=3)

Ranking = Callable[[Sequence[ServerEstimate], Random], Sequence[ServerEstimate]]
RANKINGS: dict[str, Ranking] = {}


class UnknownRankingError(GatewayError):
    """No ranking has this name."""


def register_ranking(name: str) -> Callable[[Ranking], Ranking]:
    """Return a decorator that registers a ranking under ``name``."""

    def register(ranking: Ranking) -> Ranking:
        RANKINGS[name] = ranking
        return ranking

    return register


def find_ranking(name: str) -> Ranking:
    """Return the ranking called ``name``.

    Raises
    ------
    UnknownRankingError
        If there is none; the message lists the known names.
    """
    if name not in RANKINGS:
        known = ', '.join(sorted(RANKINGS))
        raise UnknownRankingError(f'no ranking is called {name}: {known}')
    return RANKINGS[name]


@register_ranking('soonest')
def rank_soonest(
    estimates: Sequence[ServerEstimate],
    random: Random,
) -> Sequence[ServerEstimate]:
    """Rank by the estimated wait."""
    return sorted(
        estimates,
        key=lambda one: (one.wait // TIE, random.random()),
    )


@register_ranking('least-in-flight')
def rank_least_in_flight(
    estimates: Sequence[ServerEstimate],
    random: Random,
) -> Sequence[ServerEstimate]:
    """Rank by the calls in flight beside the slots, a baseline."""
    return sorted(
        estimates,
        key=lambda one: (one.calls / one.server.slots, random.random()),
    )


@register_ranking('random')
def rank_random(
    estimates: Sequence[ServerEstimate],
    random: Random,
) -> Sequence[ServerEstimate]:
    """Rank at random, a baseline."""
    return random.sample(list(estimates), len(estimates))
