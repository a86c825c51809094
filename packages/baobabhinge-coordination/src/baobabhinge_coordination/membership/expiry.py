"""Ends of suspicions and of the memory of dead members."""

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
    """Bury suspects that did not refute; forget the long dead.

    Parameters
    ----------
    view : MembershipView
        Records to go through.
    now : timedelta
        Present monotonic time of the clock of ``view``.
    timing : MembershipTiming
        Lengths of suspicion and retention.
    """
    home = view.table.list_members(view.own.region)
    limits = msgspec.structs.replace(
        timing,
        suspicion_timeout=compute_suspicion_timeout(timing, len(home)),
    )
    for region in view.table.list_regions():
        for member in view.table.list_members(region):
            if member.state >= MemberState.suspect:
                _expire_one(view, member, now, limits)


def _expire_one(
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
