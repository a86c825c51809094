"""Division of a quota among the regions, and of its tolerance among uses.

The rule bounds what runs in each window. A region accounts for its own part
of that window, so that no message is needed to keep the sum.
"""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment import Quota

# Calls are counted when they were sent, and admitted a little later: with the
# default tolerance this covers 80 ms of them.
DELAY_PART = 0.1
# Held by gateways that do not reach their keeper.
FALLBACK_PART = 0.05
# Of the tolerance, what gateways may hold without having used it.
CREDIT_PART = 0.2
# Of the rest, what only calls above the average size may use, which would
# otherwise be refused each time that smaller ones use the account up.
RESERVE_PART = 0.25


class QuotaPolicy(msgspec.Struct, frozen=True):
    """Tolerance of all quotas.

    Parameters
    ----------
    window : timedelta
        Span in which a quota bounds the calls.
    over : float
        Fraction by which a quota may be exceeded.
    slack : float
        Units beyond that.
    """

    window: timedelta = timedelta(seconds=8)
    over: float = 0.1
    slack: float = 140_000


class RegionQuota(msgspec.Struct, frozen=True):
    """Part of one region in a quota.

    Parameters
    ----------
    window : float
        Length of the window, in seconds.
    rate : float
        Units per second.
    stock : float
        Units in a window beyond the rate.
    credit : float
        Units that all gateways of the region may hold unused.
    fallback : float
        Units that they may hold if they do not reach the keeper.
    """

    window: float
    rate: float
    stock: float
    credit: float
    fallback: float

    @property
    def span(self) -> timedelta:
        """Length of the window."""
        return timedelta(seconds=self.window)

    @property
    def reserve(self) -> float:
        """Units that only large calls may use."""
        return self.stock * RESERVE_PART


def divide_quota(
    quota: Quota, policy: QuotaPolicy, regions: int
) -> RegionQuota:
    """Return the part of one region in ``quota``.

    Parameters
    ----------
    quota : Quota
        Quota of a workspace.
    policy : QuotaPolicy
        Tolerance of all quotas.
    regions : int
        Number of regions of the deployment.
    """
    window = policy.window.total_seconds()
    share = 1 / max(1, regions)
    over = policy.over * (quota.rate * window + quota.burst)
    reserved = over * (DELAY_PART + FALLBACK_PART)
    tolerance = quota.burst + over - reserved + policy.slack
    return RegionQuota(
        window,
        quota.rate * share,
        tolerance * (1 - CREDIT_PART) * share,
        tolerance * CREDIT_PART * share,
        over * FALLBACK_PART * share,
    )
