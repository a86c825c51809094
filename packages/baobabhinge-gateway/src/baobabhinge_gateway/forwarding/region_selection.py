"""Whether a call is served at home or in another region.

Load pattern: a region at its peak beside neighbours with room.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.estimates import ServerEstimate

# Both ways between regions, as both sheets tell.
ROUND_TRIP = timedelta(milliseconds=160)
# Home is late when its estimate takes this share of the objective; the rest is
# for what the estimate does not see.
LATE_SHARE = 0.15
# Away must be better than home by this much, so that two regions do not send
# their calls to each other on stale figures.
MARGIN = timedelta(milliseconds=30)
# What is not served at home at all waits no longer than this.
UNAVAILABLE_WAIT = timedelta(hours=1)


RegionWaits = Mapping[str, timedelta]


class RegionChoice(msgspec.Struct, frozen=True):
    """Where a call is to be served.

    Parameters
    ----------
    region : str
        Chosen region.
    wait : timedelta
        Estimated time to the first piece of the answer, the way included.
    home_wait : timedelta
        The same at home.
    """

    region: str
    wait: timedelta
    home_wait: timedelta


def find_shortest_wait(estimates: Sequence[ServerEstimate]) -> timedelta:
    """Return the shortest wait, or `UNAVAILABLE_WAIT` for no estimates."""
    return min((one.wait for one in estimates), default=UNAVAILABLE_WAIT)


def choose_region(
    home: str,
    waits: RegionWaits,
    objective: timedelta,
) -> RegionChoice | None:
    """Return where a call is served best, or ``None`` if nowhere.

    Parameters
    ----------
    home : str
        Region of this gateway.
    waits : mapping of str to timedelta
        Shortest wait in each region that may serve the call.
    objective : timedelta
        Time within which the answer is in time.
    """
    home_wait = waits.get(home, UNAVAILABLE_WAIT)
    ways = {
        region: wait + ROUND_TRIP
        for region, wait in waits.items()
        if region != home and wait < UNAVAILABLE_WAIT
    }
    away = min(ways, key=lambda region: ways[region], default=None)
    if away is None or home_wait <= objective * LATE_SHARE:
        if home_wait >= UNAVAILABLE_WAIT:
            return None
        return RegionChoice(home, home_wait, home_wait)
    if ways[away] + MARGIN < home_wait:
        return RegionChoice(away, ways[away], home_wait)
    return RegionChoice(home, home_wait, home_wait)
