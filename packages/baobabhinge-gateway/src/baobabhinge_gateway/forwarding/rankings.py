"""Registry of rankings, which order the servers that may get a call."""

from collections.abc import Callable, Sequence
from random import Random

from baobabhinge_gateway.errors import GatewayError
from baobabhinge_gateway.forwarding.engine_sharing import (
    can_share_engines,
    select_shared_engines,
)
from baobabhinge_gateway.forwarding.estimates import (
    SHORTEST_RESOLUTION,
    ServerEstimate,
)

Ranking = Callable[
    [Sequence[ServerEstimate], Random],
    Sequence[ServerEstimate],
]
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
        raise UnknownRankingError(
            f'unknown ranking {name}; known rankings: {known}',
        )
    return RANKINGS[name]


@register_ranking('soonest')
def rank_soonest(
    estimates: Sequence[ServerEstimate],
    random: Random,
) -> Sequence[ServerEstimate]:
    """Rank by the expected wait and by the delay of others, shortest first.

    Where speeds are learned, engines that got more work than their share count
    as later, and waits that differ by less than the spread are drawn.

    Engines that long answers share go before all others. Waits within the
    same step of their resolution tie. Ties are broken at random, so that
    gateways with the same outdated loads do not all choose one server. Regions
    with few engines have few gateways, whose loads tell shorter waits apart.
    """
    shared = select_shared_engines(estimates)
    others = [estimate for estimate in estimates if estimate not in shared]
    is_large = can_share_engines(estimates)
    random.shuffle(others)
    others.sort(key=lambda one: _count_steps(one, random, is_large=is_large))
    return [*shared, *others]


def _count_steps(
    estimate: ServerEstimate, random: Random, *, is_large: bool
) -> int:
    wait = estimate.wait + estimate.imbalance
    if estimate.spread:
        wait += estimate.spread * random.random()
    if is_large:
        return (wait + estimate.delay_of_others) // estimate.resolution
    return wait // SHORTEST_RESOLUTION


@register_ranking('least-in-flight')
def rank_least_in_flight(
    estimates: Sequence[ServerEstimate],
    random: Random,
) -> Sequence[ServerEstimate]:
    """Rank by calls in flight per slot, fewest first; a baseline."""
    return sorted(
        estimates,
        key=lambda one: (one.calls / one.server.slots, random.random()),
    )


@register_ranking('random')
def rank_random(
    estimates: Sequence[ServerEstimate],
    random: Random,
) -> Sequence[ServerEstimate]:
    """Rank at random; a baseline."""
    return random.sample(list(estimates), len(estimates))
