"""Speeds of the servers of one service, by the figures of all gateways."""

from collections.abc import Callable, Iterable, Mapping
from math import exp, log
from statistics import fmean

import msgspec

from baobabhinge_gateway.pace.figures import NO_FIGURES, Figures

# A server counts as the mean of its service with this weight, about that of
# one call: tens of calls tell its speed.
PRIOR_WEIGHT = 1.0
# A server with less says nothing of the mean of its service.
MIN_MEAN_WEIGHT = 1.0
# Bound on the times of a whole service relative to the initial estimates.
MAX_BASE = log(2)
# Bound on the times of one server relative to its service.
MAX_FACTOR = 10
# One sample moves a server by at most this factor from what is known of it.
MAX_SURPRISE = log(2.5)


class LearnedService(msgspec.Struct, frozen=True):
    """What is learned of the servers of one service.

    Parameters
    ----------
    events, first : float
        Logarithms of the mean times relative to the initial estimates.
    figures : mapping of str to Figures
        Figures of all gateways by server.
    factors : mapping of str to float
        Times of each server relative to the initial estimates.
    """

    events: float = 0
    first: float = 0
    figures: Mapping[str, Figures] = {}
    factors: Mapping[str, float] = {}

    def find_factor(self, server: str) -> float:
        """Return the factor of a server; the mean for one without calls."""
        return self.factors.get(server) or exp(_bound(self.first, MAX_BASE))

    def bound_events(self, server: str, sample: float) -> float:
        """Return a sample of the time between events, without outliers."""
        known = self.figures.get(server, NO_FIGURES)
        mean = (known.events + self.events) / (known.events_weight + 1)
        return mean + _bound(sample - mean, MAX_SURPRISE)

    def bound_first(self, server: str, sample: float) -> float:
        """Return a sample of the time to the first event, without outliers."""
        known = self.figures.get(server, NO_FIGURES)
        mean = (known.first + self.first) / (known.first_weight + 1)
        return mean + _bound(sample - mean, MAX_SURPRISE)


NOTHING_LEARNED = LearnedService()


def learn_service(figures: Mapping[str, Figures]) -> LearnedService:
    """Return what the figures of the servers of a service say.

    Prefills of other calls lengthen the time between events at all servers, so
    only its differences between servers count.

    Parameters
    ----------
    figures : mapping of str to Figures
        Sums over all gateways by server.
    """
    events = _compute_mean(
        figures.values(), lambda one: (one.events, one.events_weight)
    )
    first = _compute_mean(
        figures.values(), lambda one: (one.first, one.first_weight)
    )
    base = _bound(first, MAX_BASE)
    return LearnedService(
        events,
        first,
        figures,
        {
            server: exp(base + _compare(one, events, first))
            for server, one in figures.items()
        },
    )


def _compare(figures: Figures, events: float, first: float) -> float:
    """Return the logarithm of the times of a server by those of its service."""
    excess = figures.events - figures.events_weight * events
    excess += figures.first - figures.first_weight * first
    return _bound(excess / (figures.weight + PRIOR_WEIGHT), log(MAX_FACTOR))


def _compute_mean(
    figures: Iterable[Figures],
    select: Callable[[Figures], tuple[float, float]],
) -> float:
    """Return the mean over the servers; each of them counts alike."""
    means = [
        total / weight
        for total, weight in map(select, figures)
        if weight >= MIN_MEAN_WEIGHT
    ]
    return fmean(means) if means else 0


def _bound(number: float, limit: float) -> float:
    return max(-limit, min(limit, number))
