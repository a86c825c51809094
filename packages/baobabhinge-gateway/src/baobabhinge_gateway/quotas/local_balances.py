"""Units of one workspace that a gateway may use."""

from datetime import timedelta

from baobabhinge_gateway.quotas.credits import CREDIT_TERM
from baobabhinge_gateway.quotas.messages import Grant
from baobabhinge_gateway.quotas.policy import RegionQuota
from baobabhinge_gateway.quotas.votes import FALLBACK_TERM

# The keeper has not counted this gateway for a while then: it is held for gone
# 2 s after its latest heartbeat, and does not vote 1.3 s after.
FALLBACK_DELAY = timedelta(seconds=3)
# Units of a call that is declined later may have been minted before the window
# in which they are used then.
RETURN_TERM = timedelta(milliseconds=500)
# Sums of fractions differ by less between a gateway and its keeper.
ROUNDING = 0.001
NO_TIME = timedelta()


class Fallback:
    """Units for which a gateway needs no keeper.

    Parameters
    ----------
    quota : RegionQuota
        Part of the region in the quota.
    """

    __slots__ = ('_began', '_quota', '_units', '_updated')

    def __init__(self, quota: RegionQuota) -> None:
        """Start empty."""
        self._quota = quota
        self._units: float = 0
        self._began: timedelta | None = None
        self._updated = NO_TIME

    def stop(self) -> None:
        """Mint nothing more, as the keeper answers."""
        self._began = None

    def take(self, units: float, gateways: int, now: timedelta) -> bool:
        """Take units for a call, if there are enough.

        Parameters
        ----------
        units : float
            Units of the call.
        gateways : int
            Gateways of the region, each of which has an equal part.
        now : timedelta
            Monotonic time.
        """
        self._mint(max(1, gateways), now)
        if units > self._units:
            return False
        self._units -= units
        return True

    def _mint(self, gateways: int, now: timedelta) -> None:
        if self._began is None:
            self._began = now
            self._updated = now + FALLBACK_DELAY
        latest = min(now, self._began + FALLBACK_TERM)
        span = (latest - self._updated).total_seconds()
        if span <= 0:
            return
        self._updated = latest
        minted = self._quota.rate * span
        most = max(self._quota.fallback, 0)
        self._units = min(self._units + minted / gateways, most / gateways)


class LocalBalance:
    """Units that this gateway may use, and those that it has used.

    Parameters
    ----------
    quota : RegionQuota
        Part of the region in the quota.

    Attributes
    ----------
    quota : RegionQuota
        Part of the region in the quota.
    fallback : Fallback
        Units for which the gateway needs no keeper.
    used : float
        Units used since the start.
    latest : timedelta or None
        Monotonic time of the latest use.
    """

    __slots__ = (
        '_limit',
        '_sequence',
        '_source',
        '_valid_until',
        'fallback',
        'latest',
        'quota',
        'used',
    )

    def __init__(self, quota: RegionQuota) -> None:
        """Start without units."""
        self.quota = quota
        self.fallback = Fallback(quota)
        self.used: float = 0
        self.latest: timedelta | None = None
        self._limit: float = 0
        self._sequence = 0
        self._source = ''
        self._valid_until = NO_TIME

    def adopt(self, quota: RegionQuota) -> None:
        """Put another quota in force and give up all units."""
        self.quota = quota
        self.fallback = Fallback(quota)
        self._forget()

    def count_unused(self, now: timedelta) -> float:
        """Return the units that may be used now."""
        if now >= self._valid_until:
            return 0
        return self._limit - self.used

    def spend(self, units: float, now: timedelta) -> bool:
        """Use units for a call, if there are enough."""
        self.latest = now
        if units > self.count_unused(now) + ROUNDING:
            return False
        self.used += units
        return True

    def restore(self, units: float, age: timedelta) -> None:
        """Give the units of a call back that did not run.

        Parameters
        ----------
        units : float
            Units of the call.
        age : timedelta
            Time since they were used; they are lost if it is long.
        """
        if age <= RETURN_TERM:
            self.used -= units

    def apply(self, grant: Grant, source: str, reported: timedelta) -> bool:
        """Apply a grant; return whether it is newer than those before.

        Parameters
        ----------
        grant : Grant
            The grant.
        source : str
            Incarnation of the keeper.
        reported : timedelta
            Monotonic time of the report that it answers.
        """
        if source == self._source and grant.sequence <= self._sequence:
            return False
        self._source = source
        self._sequence = grant.sequence
        self._limit = grant.limit
        self._valid_until = reported + CREDIT_TERM
        self.fallback.stop()
        return True

    def _forget(self) -> None:
        self._limit = self.used
        self._sequence = 0
        self._source = ''
        self._valid_until = NO_TIME
