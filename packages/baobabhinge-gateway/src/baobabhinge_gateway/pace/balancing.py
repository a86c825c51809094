"""Differences between the work that servers got, by their speeds."""

from collections.abc import Sequence
from datetime import timedelta
from statistics import fmean

import msgspec

from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.pace.factors import LearnedService
from baobabhinge_gateway.pace.figures import NO_FIGURES

# An engine with twice the mean work is avoided like one with this longer wait.
# In replays of 12 and 23 engines, 600 ms and 800 ms gave longer waits, as all
# gateways chose the same engines, and no better balance.
IMBALANCE_WEIGHT = timedelta(milliseconds=400)
# Without it, the longest hundredth of the waits in these replays was 1.5 to 1.8
# times as long.
SPREAD = timedelta(milliseconds=100)
# An engine that has returned is preferred by no more than this part of it.
MAX_CREDIT = 0.3
# Milliseconds of work below which differences are chance.
MIN_WORK = 300.0


def balance(
    estimates: Sequence[ServerEstimate], learned: LearnedService
) -> Sequence[ServerEstimate]:
    """Return the estimates with the imbalance of their engines.

    Those of plain services are returned as they are. The work of the last tens
    of seconds counts, not only that in progress: the load reports of gateways
    are too old to spread calls one by one. Engines that have less to prefill,
    as they have cached a part of the prompt, are delayed less.

    Parameters
    ----------
    estimates : sequence of ServerEstimate
        Estimates of one call for the servers of a region.
    learned : LearnedService
        Speeds of the servers, and the work that they got.
    """
    if not any(estimate.added.memory for estimate in estimates):
        return estimates
    times = [
        _measure_busy(learned, estimate.server.name) for estimate in estimates
    ]
    mean = fmean(times)
    longest = max(estimate.added.unread for estimate in estimates)
    return [
        msgspec.structs.replace(
            estimate,
            imbalance=_compute_imbalance(one, mean),
            spread=SPREAD * estimate.added.unread / max(1, longest),
        )
        for estimate, one in zip(estimates, times, strict=True)
    ]


def _measure_busy(learned: LearnedService, server: str) -> float:
    work = learned.figures.get(server, NO_FIGURES).work
    return work * learned.find_factor(server)


def _compute_imbalance(busy: float, mean: float) -> timedelta:
    excess = (busy - mean) / (mean + MIN_WORK)
    return IMBALANCE_WEIGHT * max(-MAX_CREDIT, excess)
