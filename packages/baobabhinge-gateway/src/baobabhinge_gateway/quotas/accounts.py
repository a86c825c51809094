"""Account of one workspace in one region."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.quotas.messages import Balance
from baobabhinge_gateway.quotas.policy import RegionQuota
from baobabhinge_gateway.quotas.windows import Window

# A process that did not run for longer may have lost its account to another:
# others hold it for gone after 2 s, and elect the next keeper for 1.6 s.
LONGEST_STEP = timedelta(seconds=2)


class StatedBalance(msgspec.Struct, frozen=True):
    """Account as its keeper stated it.

    Parameters
    ----------
    heard : timedelta
        Monotonic time at which it did.
    balance : Balance
        The account.
    """

    heard: timedelta
    balance: Balance


class Account:
    """Units that a region may still grant in the current window.

    Within each window, it grants at most what was minted in it and the stock.
    Another gateway may have kept the account until now. Unless that one stated
    it, the account starts empty, as if the stock had just been granted.

    Parameters
    ----------
    quota : RegionQuota
        Part of the region in the quota.
    now : timedelta
        Monotonic time.
    stated : StatedBalance, optional
        The account as its keeper before stated it.

    Attributes
    ----------
    quota : RegionQuota
        Part of the region in the quota; what was granted under an earlier one
        counts against it.
    room : float
        Units that may be granted now, with the reserve.
    window : Window
        What was granted and minted in the current window.
    """

    __slots__ = ('_rate', '_updated', 'quota', 'room', 'window')

    def __init__(
        self,
        quota: RegionQuota,
        now: timedelta,
        stated: StatedBalance | None = None,
    ) -> None:
        """Start empty, or go on with what was stated.

        Nothing is minted for the time between the statement and now, in which
        the keeper before may have granted units.
        """
        self.quota = quota
        self.room: float = 0
        self._rate: float = 0
        self._updated = now
        self.window = _open_window(quota, now)
        if stated is not None and now - stated.heard < quota.span:
            self.window = Window(quota.window)
            balance = stated.balance
            self.window.restore(balance.granted, balance.minted, stated.heard)
            used = sum(balance.granted) - sum(balance.minted)
            self.room = quota.stock - used + self.window.expire(now)

    def advance(self, now: timedelta, share: float) -> None:
        """Mint for the time that has passed.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        share : float
            Part of the rate of the region that is minted here from now on; the
            rest is that of gateways that do not reach this one.
        """
        step = now - self._updated
        self._updated = now
        if step > LONGEST_STEP:
            self.room = 0
            self.window = _open_window(self.quota, now)
        elif step:
            self.add(self._rate * step.total_seconds())
            self.room += self.window.expire(now)
        self._rate = self.quota.rate * share

    def take(self, units: float) -> bool:
        """Take units for a call, if there is room.

        Up to the reserve, room does not depend on the size of the call.
        """
        if max(units, self.quota.reserve) > self.room:
            return False
        self._grant(units)
        return True

    def take_spare(self, units: float, part: float) -> float:
        """Take up to ``units`` that are not reserved; return how many.

        Parameters
        ----------
        units : float
            Units that are wanted.
        part : float
            Part of what is not reserved that is taken at most.
        """
        spare = (self.room - self.quota.reserve) * part
        taken = max(0, min(units, spare))
        self._grant(taken)
        return taken

    def add(self, units: float) -> None:
        """Add units that were minted, or that another region has given up."""
        self.room += units
        self.window.mint(units, self._updated)

    def estimate_wait(self, units: float) -> timedelta:
        """Return the time until there is room for ``units``, without others."""
        missing = max(units, self.quota.reserve) - self.room
        window = self.quota.window
        if missing <= 0:
            return timedelta()
        if missing >= self._rate * window:
            return timedelta(seconds=window)
        return timedelta(seconds=missing / self._rate)

    def _grant(self, units: float) -> None:
        self.room -= units
        self.window.grant(units, self._updated)


def _open_window(quota: RegionQuota, now: timedelta) -> Window:
    """Return a window in which the stock has just been granted."""
    window = Window(quota.window)
    window.grant(quota.stock, now)
    return window
