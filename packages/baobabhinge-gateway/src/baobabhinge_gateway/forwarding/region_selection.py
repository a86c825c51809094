"""Choice between the local region and forwarding to a remote region.

Load pattern: a region at its peak beside regions with free capacity.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.estimates import ServerEstimate

# Round-trip time between regions, from the data sheets of both deployments.
ROUND_TRIP = timedelta(milliseconds=160)
# Other regions are considered when the local wait exceeds this fraction of
# the objective; the rest is for delays that the estimate does not include.
LATE_FRACTION = 0.15
# A remote region must be faster by this much, so that two regions do not
# forward their calls to each other because of outdated loads.
MIN_GAIN = timedelta(milliseconds=30)
# Stands for the wait in a region without an available server.
UNAVAILABLE_WAIT = timedelta(hours=1)


RegionWaits = Mapping[str, timedelta]


class RegionChoice(msgspec.Struct, frozen=True):
    """Region that is to serve a call.

    Parameters
    ----------
    region : str
        Chosen region.
    wait : timedelta
        Expected time to the first chunk of the answer, including the round
        trip to the region.
    local_wait : timedelta
        Expected time in the local region.
    """

    region: str
    wait: timedelta
    local_wait: timedelta


def find_shortest_wait(estimates: Sequence[ServerEstimate]) -> timedelta:
    """Return the shortest wait, or `UNAVAILABLE_WAIT` without estimates."""
    return min(
        (estimate.wait for estimate in estimates),
        default=UNAVAILABLE_WAIT,
    )


def may_forward(
    local_wait: timedelta, shortest: timedelta, objective: timedelta
) -> bool:
    """Return whether a remote region can be the choice for a call.

    Most calls need no estimates for the servers of other regions.

    Parameters
    ----------
    local_wait : timedelta
        Shortest wait in the local region.
    shortest : timedelta
        Wait at an idle server that has cached what can be cached.
    objective : timedelta
        Target for the time to the first chunk of the answer.
    """
    is_late = local_wait > objective * LATE_FRACTION
    return is_late and local_wait > ROUND_TRIP + MIN_GAIN + shortest


def choose_region(
    local_region: str,
    waits: RegionWaits,
    objective: timedelta,
) -> RegionChoice | None:
    """Return the region to serve a call, or ``None`` if none has a server.

    Parameters
    ----------
    local_region : str
        Region of this gateway.
    waits : mapping of str to timedelta
        Shortest wait in each region that may serve the call, without the
        round trip.
    objective : timedelta
        Target for the time to the first chunk of the answer.
    """
    local_wait = waits.get(local_region, UNAVAILABLE_WAIT)
    remote_waits = {
        region: wait + ROUND_TRIP
        for region, wait in waits.items()
        if region != local_region and wait < UNAVAILABLE_WAIT
    }
    remote = min(
        remote_waits,
        key=lambda region: remote_waits[region],
        default=None,
    )
    if remote is None or local_wait <= objective * LATE_FRACTION:
        if local_wait >= UNAVAILABLE_WAIT:
            return None
        return RegionChoice(local_region, local_wait, local_wait)
    if remote_waits[remote] + MIN_GAIN < local_wait:
        return RegionChoice(remote, remote_waits[remote], local_wait)
    return RegionChoice(local_region, local_wait, local_wait)
