"""Decision which calls are refused while demand exceeds capacity."""

from datetime import timedelta
from random import Random

from baobabhinge_gateway.forwarding.shedding import compute_retry_after
from baobabhinge_gateway.shares.allocation import Allocation
from baobabhinge_gateway.shares.call_keys import CallKey
from baobabhinge_gateway.shares.call_share import CallShare
from baobabhinge_gateway.shares.counted_share import CountedShare
from baobabhinge_gateway.shares.draws import Draws
from baobabhinge_gateway.shares.entries import TOTAL
from baobabhinge_gateway.shares.problems import ShareUsedUpError
from baobabhinge_gateway.shares.regional import RegionalWork
from baobabhinge_gateway.shares.sums import Work

# Factor of the bound of the wait for calls below their share.
LONGER_WAIT = 2
# Time in which as much work comes as exceeds the capacity once.
SECOND = timedelta(seconds=1)


class ShareAdmission:
    """Count the work of calls, and refuse those above their share.

    Parameters
    ----------
    work : RegionalWork
        Work of the region.
    random : Random
        Spreads retries, and the calls that are refused.
    """

    __slots__ = ('_draws', '_random', '_work')

    def __init__(self, work: RegionalWork, random: Random) -> None:
        """Start without calls."""
        self._work = work
        self._random = random
        self._draws = Draws(random)

    def open(self, key: CallKey, work: int) -> CallShare:
        """Return the share of a call that may be dispatched.

        Parameters
        ----------
        key : CallKey
            Kind of the call.
        work : int
            Its work in ms.

        Raises
        ------
        ShareUsedUpError
            If it is above the share of its kind; it says when to retry.
        """
        own = self._work.open_window(key.service)
        share = CountedShare(own, (TOTAL, *key.list_entries()), work)
        allocation = self._work.find_allocation(key.service)
        if allocation is None:
            share.record(Work(work, allowed=work, calls=1))
        else:
            self._check(key, share, allocation)
        return share

    def _check(
        self, key: CallKey, share: CountedShare, allocation: Allocation
    ) -> None:
        kind = allocation.compute_part(*key.list_entries())
        allowed = round(kind.part * share.work)
        share.record(Work(share.work, allowed=allowed, calls=1))
        if not self._draws.draw(key, kind.boosted):
            share.record(Work(refused=share.work))
            excess = (allocation.excess - 1) * SECOND
            raise ShareUsedUpError(
                'demand exceeds capacity, and the call is above its share',
                compute_retry_after(excess, self._random),
            )
        if kind.is_below:
            share.wait_factor = LONGER_WAIT
