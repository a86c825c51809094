"""Periods that follow the size of a region."""

from datetime import timedelta

from baobabhinge_coordination.membership.messages import MembershipTiming

SMALL_REGION = 8
LARGE_FACTOR = 2
SMALL_DOUBLINGS = 4


def choose_home_period(timing: MembershipTiming, members: int) -> timedelta:
    """Return the time between two probes inside a region.

    Parameters
    ----------
    timing : MembershipTiming
        Periods of a small region.
    members : int
        Members of the region.
    """
    if members > SMALL_REGION:
        return timing.home_period * LARGE_FACTOR
    return timing.home_period


def choose_suspicion(timing: MembershipTiming, members: int) -> timedelta:
    """Return the time that a suspect has to refute.

    It grows with the doublings that the suspicion needs to reach the suspect.
    """
    doublings = max(SMALL_DOUBLINGS, members.bit_length())
    period = choose_home_period(timing, members)
    slowdown = period / timing.home_period
    return timing.suspicion * (slowdown * doublings / SMALL_DOUBLINGS)
