"""Whether a call is refused because its answer would come too late.

Load pattern: demand above the capacity of all regions. A call whose caller
leaves before the answer costs an engine its time for nothing.
"""

from datetime import timedelta
from random import Random

from baobabhinge_gateway.forwarding.failures import OverloadError
from baobabhinge_gateway.forwarding.region_selection import RegionChoice

# Callers leave a stream that has not begun after four times the objective.
LATE_FACTOR = 4
# A caller refused for want of any server may come back when a call of usual
# length has ended.
NO_SERVER_RETRY_AFTER = timedelta(milliseconds=500)
# Returns are spread over half of the time until there should be room.
SPREAD = 0.5
SHORTEST_RETURN = timedelta(milliseconds=200)
LONGEST_RETURN = timedelta(seconds=4)


def check_expected_wait(
    choice: RegionChoice,
    objective: timedelta,
    random: Random,
) -> None:
    """Refuse a call whose caller would leave first, wherever it is served.

    Parameters
    ----------
    choice : RegionChoice
        The best region and the wait there.
    objective : timedelta
        Time within which the answer is in time.
    random : Random
        Generator that spreads the returns.

    Raises
    ------
    OverloadError
        It says when room is expected.
    """
    limit = objective * LATE_FACTOR
    if choice.wait <= limit:
        return
    room = choice.wait - limit
    spread = room * (1 + SPREAD * random.random())
    raise OverloadError(
        f'the answer is expected after {choice.wait}',
        min(LONGEST_RETURN, max(SHORTEST_RETURN, spread)),
    )
