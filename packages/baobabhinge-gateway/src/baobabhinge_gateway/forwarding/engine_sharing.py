"""Choice of the engines that long answers share.

Load pattern: prompts that keep engines prefilling, beside calls whose answers
are so long that they end in time only on engines that prefill little. Spread
evenly, no engine is left on which a long answer ends in time.
"""

from collections.abc import Sequence
from datetime import timedelta

import xxhash

from baobabhinge_gateway.forwarding.estimates import ServerEstimate

# With fewer engines, one that prompts avoid is a large part of a region.
MIN_ENGINES = 6
# Calls on a shared engine, so that decode steps without a prefill stay short.
MAX_SHARED_CALLS = 32
# An engine with more prompts waiting prefills too much.
MAX_BACKLOG = timedelta(milliseconds=300)
# Upper bound of the wait beyond the shortest one.
MAX_EXTRA_WAIT = timedelta(milliseconds=150)
# Engines with less waiting generate long answers in time wherever they run.
# Applies only where speeds are learned, as sharing leaves some engines idle:
# the busiest of 12 engines of three speeds had 3.6 times the mean work.
MIN_SHARED_BACKLOG = timedelta(milliseconds=30)


def select_shared_engines(
    estimates: Sequence[ServerEstimate],
) -> Sequence[ServerEstimate]:
    """Return the engines that are to take a call with a long answer.

    The order is the same at all gateways, so that they fill one engine after
    another without messages.

    Parameters
    ----------
    estimates : sequence of ServerEstimate
        Estimates for one call on each of the available servers.

    Returns
    -------
    sequence of ServerEstimate
        Empty for a call without a long answer, or if there are too few
        engines or none has room.
    """
    has_long_answer = any(one.added.long_answers for one in estimates)
    if not has_long_answer or not can_share_engines(estimates):
        return []
    if _are_idle(estimates):
        return []
    longest = min(estimate.wait for estimate in estimates) + MAX_EXTRA_WAIT
    with_room = [
        estimate
        for estimate in estimates
        if estimate.calls < MAX_SHARED_CALLS
        and estimate.backlog <= MAX_BACKLOG
        and estimate.wait <= longest
    ]
    return sorted(with_room, key=_rank_engine)


def can_share_engines(estimates: Sequence[ServerEstimate]) -> bool:
    """Return whether there are enough engines for some to be shared."""
    return len(estimates) >= MIN_ENGINES


def _are_idle(estimates: Sequence[ServerEstimate]) -> bool:
    """Return whether the engines prefill so little that none is to be shared.

    It is not known unless their speeds are learned.
    """
    if any(estimate.expected is None for estimate in estimates):
        return False
    backlog = sum((estimate.backlog for estimate in estimates), timedelta())
    return backlog < MIN_SHARED_BACKLOG * len(estimates)


def _rank_engine(estimate: ServerEstimate) -> int:
    return xxhash.xxh3_64_intdigest(estimate.server.name.encode())
