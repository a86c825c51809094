"""Load shedding: refusal of calls whose answers would come too late.

Load pattern: demand above the capacity of all regions. A call whose caller
leaves before the answer uses engine time without effect.
"""

from datetime import timedelta
from random import Random

from baobabhinge_gateway.forwarding.failures import OverloadError
from baobabhinge_gateway.forwarding.region_selection import RegionChoice

# Callers leave a stream that has not started after four times the objective.
MAX_WAIT_FACTOR = 4
# Fraction of the objective that a call may wait for other prompts; the rest is
# for its own prompt and for its first event.
MAX_QUEUEING_FRACTION = 0.5
# Without an available server, a slot may become free when a call of usual
# length has ended.
NO_SERVER_RETRY_AFTER = timedelta(milliseconds=500)
# Retries are spread over another half of the time until capacity is expected.
RETRY_AFTER_JITTER = 0.5
MIN_RETRY_AFTER = timedelta(milliseconds=200)
MAX_RETRY_AFTER = timedelta(seconds=4)
# Above the time in which a server that returns has answered some calls.
MIN_RETURN_SPREAD = timedelta(milliseconds=500)


def check_expected_wait(
    choice: RegionChoice,
    objective: timedelta,
    random: Random,
) -> None:
    """Refuse a call whose caller would leave before the answer starts.

    Parameters
    ----------
    choice : RegionChoice
        The best region and the expected wait there.
    objective : timedelta
        Target for the time to the first chunk of the answer.
    random : Random
        Generator that spreads the retries of callers.

    Raises
    ------
    OverloadError
        If the wait is too long; it says when to retry.
    """
    excess = choice.wait - objective * MAX_WAIT_FACTOR
    if excess > timedelta():
        raise OverloadError(
            f'the answer would come too late: expected wait {choice.wait}',
            compute_retry_after(excess, random),
        )


def check_queueing(
    queueing: timedelta,
    objective: timedelta,
    random: Random,
) -> None:
    """Refuse a call while the prompts before it take too long.

    Engines on which prompts are always waiting prefill in each step, so all of
    their answers begin late, and the longest do not end in time. The time of
    the call's own prompt does not count, as large calls would be refused more
    often than small ones otherwise.

    Parameters
    ----------
    queueing : timedelta
        Time until the prompt of the call is prefilled, at the chosen server.
    objective : timedelta
        Target for the time to the first chunk of the answer.
    random : Random
        Generator that spreads the retries of callers.

    Raises
    ------
    OverloadError
        If it is too long; it says when to retry.
    """
    excess = queueing - objective * MAX_QUEUEING_FRACTION
    if excess > timedelta():
        raise OverloadError(
            f'too many prompts are waiting: {queueing} until this one',
            compute_retry_after(excess, random),
        )


def compute_return_after(left: timedelta, random: Random) -> timedelta:
    """Return when to retry if servers take calls again after ``left``.

    The returns are spread over the time after it, as a server that returns
    takes a few calls first.

    Parameters
    ----------
    left : timedelta
        Time until the first server takes a call.
    random : Random
        Generator that spreads the retries of callers.
    """
    spread = max(MIN_RETURN_SPREAD, RETRY_AFTER_JITTER * left)
    return max(MIN_RETRY_AFTER, left + spread * random.random())


def compute_retry_after(excess: timedelta, random: Random) -> timedelta:
    """Return when to retry if capacity is expected after ``excess``.

    Parameters
    ----------
    excess : timedelta
        Time until a call can be served.
    random : Random
        Generator that spreads the retries of callers.
    """
    retry_after = excess * (1 + RETRY_AFTER_JITTER * random.random())
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, retry_after))
