"""Hysteresis of forwarding to other regions.

Load pattern: two busy regions, each of which seems to the other to be faster
for a moment. Traffic between regions is expensive.
"""

from datetime import timedelta

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.region_selection import (
    UNAVAILABLE_WAIT,
    RegionChoice,
)

# Gain at which forwarding begins, as a fraction of the objective. A call that
# gains less is hardly answered in time more often, but costs traffic.
BEGIN_FRACTION = 0.15
# Gain down to which it goes on.
KEEP_FRACTION = 0.075
# Gain at which a region forwards that serves the calls of others itself.
BUSY_FRACTION = 0.45
# A region that has not forwarded for this time begins anew. Loads of other
# regions are up to 0.9 s old.
MEMORY = timedelta(seconds=2)
# Before the start of the monotonic clock.
LONG_AGO = timedelta(days=-1)


class Lending:
    """Recent forwarding to each region, and calls served for others.

    Parameters
    ----------
    local : str
        Region of this gateway.
    """

    __slots__ = ('_forwarded', '_local', '_served')

    def __init__(self, local: str) -> None:
        """Start without forwarded calls."""
        self._local = local
        self._forwarded: dict[str, timedelta] = {}
        self._served = LONG_AGO

    def confirm(
        self, call: Call, choice: RegionChoice, now: timedelta
    ) -> RegionChoice:
        """Return the choice, or the local region if too little is gained.

        Parameters
        ----------
        call : Call
            Call to place.
        choice : RegionChoice
            Region with the shortest wait.
        now : timedelta
            Present monotonic time.
        """
        if call.is_from_gateway:
            self._served = now
        is_needed = choice.local_wait >= UNAVAILABLE_WAIT
        if choice.region == self._local or is_needed:
            return choice
        gain = choice.local_wait - choice.wait
        fraction = self._find_fraction(choice.region, now)
        if gain < call.route.objective * fraction:
            return RegionChoice(
                self._local, choice.local_wait, choice.local_wait
            )
        self._forwarded[choice.region] = now
        return choice

    def _find_fraction(self, region: str, now: timedelta) -> float:
        if now - self._served <= MEMORY:
            return BUSY_FRACTION
        forwarded = self._forwarded.get(region, LONG_AGO)
        return KEEP_FRACTION if now - forwarded <= MEMORY else BEGIN_FRACTION
