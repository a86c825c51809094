"""Periods that follow the size of a region."""

from datetime import timedelta

from baobabhinge_coordination.membership.messages import MembershipTiming

SMALL_REGION = 8
LARGE_FACTOR = 2
SMALL_DOUBLINGS = 4


def choose_local_interval(timing: MembershipTiming, members: int) -> timedelta:
    """Return the time between two probes inside a region.

    Parameters
    ----------
    timing : MembershipTiming
        Periods of a small region.
    members : int
        Members of the region.
    """
    if members > SMALL_REGION:
        return timing.local_interval * LARGE_FACTOR
    return timing.local_interval


def compute_suspicion_timeout(
    timing: MembershipTiming, members: int
) -> timedelta:
    """Return the time that a suspect has to refute.

    It grows with the doublings that the suspicion needs to reach the suspect.
    """
    doublings = max(SMALL_DOUBLINGS, members.bit_length())
    period = choose_local_interval(timing, members)
    slowdown = period / timing.local_interval
    return timing.suspicion_timeout * (slowdown * doublings / SMALL_DOUBLINGS)
