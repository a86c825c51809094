"""Checks whether the chosen server has room for a call."""

from datetime import timedelta
from random import Random

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.estimates import (
    PLAIN_CALL_MS,
    ServerEstimate,
)
from baobabhinge_gateway.forwarding.region_selection import RegionChoice
from baobabhinge_gateway.forwarding.shedding import (
    MAX_QUEUEING_FRACTION,
    check_expected_wait,
    check_queueing,
)

PLAIN_CALL = timedelta(milliseconds=PLAIN_CALL_MS)


def check_load(
    call: Call, choice: RegionChoice, best: ServerEstimate, random: Random
) -> None:
    """Refuse a call that would wait too long, and record its wait.

    Parameters
    ----------
    call : Call
        The call.
    choice : RegionChoice
        Chosen region.
    best : ServerEstimate
        Chosen server there.
    random : Random
        Generator that spreads the retries of callers.

    Raises
    ------
    OverloadError
        If the wait is too long; it says when to retry.
    """
    objective = call.route.objective
    call.share.record_wait(compute_fraction(call, choice.wait, best.queueing))
    check_expected_wait(choice, objective, random)
    # A stream that goes on has few servers, and those have worked for it.
    if call.origin is None and not call.has_begun:
        longest = objective * call.share.wait_factor
        check_queueing(best.queueing, longest, random)
    call.share.record_placed()


def compute_fraction(call: Call, wait: timedelta, queueing: timedelta) -> float:
    """Return the wait for other calls as a fraction of the longest one.

    The time of the call itself does not count. Calls to plain services, whose
    queues nothing else bounds, count as late at their objective.

    Parameters
    ----------
    call : Call
        The call.
    wait : timedelta
        Expected time to the first chunk of the answer.
    queueing : timedelta
        Part of it in which an engine prefills other prompts.
    """
    objective = call.route.objective
    if not objective:
        return 0
    if call.head.demand is None:
        return (wait - PLAIN_CALL) / objective
    return queueing / (objective * MAX_QUEUEING_FRACTION)
