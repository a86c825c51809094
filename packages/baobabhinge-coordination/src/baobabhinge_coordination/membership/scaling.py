"""Intervals and timeouts scaled to the size of a region."""

from datetime import timedelta

from baobabhinge_coordination.membership.messages import MembershipTiming

SMALL_REGION_MEMBERS = 8
LARGE_REGION_INTERVAL_FACTOR = 2
SMALL_REGION_DOUBLINGS = 4


def choose_local_interval(timing: MembershipTiming, members: int) -> timedelta:
    """Return the interval between two probes inside a region.

    Parameters
    ----------
    timing : MembershipTiming
        Intervals and timeouts of a small region.
    members : int
        Number of members of the region.
    """
    if members > SMALL_REGION_MEMBERS:
        return timing.local_interval * LARGE_REGION_INTERVAL_FACTOR
    return timing.local_interval


def compute_suspicion_timeout(
    timing: MembershipTiming, members: int
) -> timedelta:
    """Return the time in which a suspect can refute.

    The number of members that hold a suspicion doubles about once in each
    interval. The timeout grows with the number of doublings until the
    suspicion reaches the suspect.
    """
    doublings = max(SMALL_REGION_DOUBLINGS, members.bit_length())
    interval = choose_local_interval(timing, members)
    interval_factor = interval / timing.local_interval
    return timing.suspicion_timeout * (
        interval_factor * doublings / SMALL_REGION_DOUBLINGS
    )
