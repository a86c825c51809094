"""Expiry of suspicions and of the records of dead members."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.membership.messages import (
    Member,
    MembershipTiming,
    MemberState,
)
from baobabhinge_coordination.membership.scaling import (
    compute_suspicion_timeout,
)
from baobabhinge_coordination.membership.view import (
    MembershipView,
    change_state,
)


def expire_members(
    view: MembershipView,
    now: timedelta,
    timing: MembershipTiming,
) -> None:
    """Declare unrefuted suspects dead and remove records of dead members.

    Parameters
    ----------
    view : MembershipView
        Records of all members.
    now : timedelta
        Current monotonic time of the clock of ``view``.
    timing : MembershipTiming
        Suspicion timeout of a small region, and retention of dead members.
    """
    local_members = view.table.list_members(view.own.region)
    scaled_timing = msgspec.structs.replace(
        timing,
        suspicion_timeout=compute_suspicion_timeout(timing, len(local_members)),
    )
    for region in view.table.list_regions():
        for member in view.table.list_members(region):
            if member.state >= MemberState.suspect:
                _expire_member(view, member, now, scaled_timing)


def _expire_member(
    view: MembershipView,
    member: Member,
    now: timedelta,
    timing: MembershipTiming,
) -> None:
    elapsed = now - view.table.read_change_time(member)
    if member.is_dead:
        if elapsed > timing.dead_retention:
            view.table.remove(member)
    elif (
        member.region == view.own.region and elapsed > timing.suspicion_timeout
    ):
        view.record(change_state(member, MemberState.dead))
