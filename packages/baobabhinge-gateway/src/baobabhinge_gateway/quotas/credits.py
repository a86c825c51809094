"""Units that a keeper has granted to single gateways."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.quotas.accounts import Account
from baobabhinge_gateway.quotas.messages import Grant, Report
from baobabhinge_gateway.quotas.policy import RegionQuota

# A gateway uses no credit for which it has not heard of the keeper for so long,
# counted from the report; the keeper takes it back a little later.
CREDIT_TERM = timedelta(seconds=6)
TERM_MARGIN = timedelta(seconds=1)
# Confirms that a credit may be used further, well before its term.
RENEWAL_INTERVAL = timedelta(seconds=2)
# Credits last for the calls until the next report or two.
CREDIT_SPAN = 1.0
# One gateway does not get all room that is spare.
SPARE_PART = 0.125
# The largest call is forgotten over some hundred reports.
LARGEST_DECAY = 0.99
# Grants below this part of what a gateway is short of wait for more.
SMALLEST_PART = 0.25
# Sums over all gateways take a while in large regions.
SUM_INTERVAL = timedelta(milliseconds=100)
NO_TIME = timedelta()


class Credit(msgspec.Struct):
    """Credit of one gateway, as its keeper knows it.

    Parameters
    ----------
    incarnation : str
        Process of the gateway.
    used, limit : float
        Units that it has reported, and those that it may use in total.
    time : int
        Time of its latest report, by its own clock, in milliseconds.
    heard : timedelta
        Monotonic time at which that report arrived.
    demand : float
        Units per second that it uses.
    sequence : int
        Number of the latest grant.
    granted : timedelta or None
        Monotonic time of that grant.
    """

    incarnation: str
    used: float
    limit: float
    time: int
    heard: timedelta
    demand: float = 0
    sequence: int = 0
    granted: timedelta | None = None

    @property
    def unused(self) -> float:
        """Units that the gateway may still use."""
        return self.limit - self.used


class CreditLedger:
    """Credits that one account has granted.

    Parameters
    ----------
    account : Account
        Account from which the units are taken.

    sequence : int
        Number above those of all earlier grants.

    Attributes
    ----------
    account : Account
        Account from which the units are taken.
    demand : float
        Units per second that all gateways use.
    largest : float
        Units of the largest call lately.
    missing : float
        Most units that were refused since other regions were asked.
    """

    __slots__ = (
        '_credits',
        '_held',
        '_sequence',
        '_summed',
        'account',
        'demand',
        'largest',
        'missing',
    )

    def __init__(self, account: Account, sequence: int) -> None:
        """Start without credits."""
        self.account = account
        self._credits: dict[str, Credit] = {}
        self._sequence = sequence
        self._held: float = 0
        self._summed = -SUM_INTERVAL
        self.demand: float = 0
        self.largest: float = 0
        self.missing: float = 0

    def adopt(self, quota: RegionQuota) -> None:
        """Put another quota in force, and call all credits back."""
        self.account.room += quota.stock - self.account.quota.stock
        self.account.quota = quota
        for credit in self._credits.values():
            credit.limit = credit.used
            credit.granted = None

    def answer(
        self,
        source: tuple[str, str],
        report: Report,
        time: int,
        now: timedelta,
    ) -> Grant | None:
        """Record a report; return what is granted upon it, if it is anything.

        Parameters
        ----------
        source : tuple of str
            Name and incarnation of the gateway.
        report : Report
            What it reports.
        time : int
            Time of the report, by the clock of the gateway.
        now : timedelta
            Monotonic time.
        """
        name, incarnation = source
        self._sum_up(now)
        credit = self._credits.get(name)
        unused = credit.unused if credit else 0
        if credit is None or credit.incarnation != incarnation:
            credit = Credit(incarnation, report.used, report.used, time, now)
            self._credits[name] = credit
        elif time >= credit.time:
            update_credit(credit, report, time, now)
        grant = self._grant(credit, report, now)
        self._held += credit.unused - unused
        return grant

    def _grant(
        self, credit: Credit, report: Report, now: timedelta
    ) -> Grant | None:
        """Return what is granted upon a report, or ``None`` if nothing is new.

        Parameters
        ----------
        credit : Credit
            Credit of the gateway.
        report : Report
            What it needs.
        now : timedelta
            Monotonic time.
        """
        self.largest = max(self.largest * LARGEST_DECAY, report.need)
        wait = self._meet(credit, report)
        has_more = not wait and self._extend(credit, report)
        is_due = (
            credit.granted is None or now - credit.granted > RENEWAL_INTERVAL
        )
        if not (report.need or has_more or is_due):
            return None
        self._sequence += 1
        credit.granted = now
        return Grant(
            report.workspace,
            self._sequence,
            credit.limit,
            # At least one, which tells that nothing was granted.
            max(1, wait // timedelta(milliseconds=1)) if wait else 0,
        )

    def _meet(self, credit: Credit, report: Report) -> timedelta:
        """Grant what calls wait for, or the first of them.

        Returns
        -------
        timedelta
            Time until there may be units for the first call; zero if they are
            granted.
        """
        for needed in (report.need + report.wanted, report.need):
            units = max(0, needed - credit.unused)
            if not units or self.account.take(units):
                credit.limit += units
                return NO_TIME
        self.missing = max(self.missing, units)
        return self.account.estimate_wait(units)

    def _extend(self, credit: Credit, report: Report) -> bool:
        """Grant what the gateway will use soon; return whether it is any."""
        quota = self.account.quota
        even = quota.credit / (2 * max(1, len(self._credits)))
        short = compute_short(credit, report, even)
        if short <= 0:
            return False
        short = min(short, quota.credit + report.need - self._held)
        units = self.account.take_spare(short, SPARE_PART)
        credit.limit += units
        return units > 0

    def _sum_up(self, now: timedelta) -> None:
        """Sum all credits up again, and take those back that have lapsed."""
        if now - self._summed < SUM_INTERVAL:
            return
        self._summed = now
        _drop_expired(self._credits, now - CREDIT_TERM - TERM_MARGIN)
        credits = self._credits.values()
        self._held = sum(credit.unused for credit in credits)
        self.demand = sum(credit.demand for credit in credits)


def compute_short(credit: Credit, report: Report, even: float) -> float:
    """Return the units that a gateway lacks soon; 0 if it lacks few.

    Parameters
    ----------
    credit : Credit
        Credit of the gateway.
    report : Report
        What it needs.
    even : float
        Units that each gateway is to have, whatever it used before.
    """
    soon = even + credit.demand * CREDIT_SPAN
    short = soon + report.need + report.wanted - credit.unused
    return short if short >= SMALLEST_PART * soon else 0


def _drop_expired(credits: dict[str, Credit], start: timedelta) -> None:
    """Take credits back that their gateways can't use any more."""
    for name, credit in tuple(credits.items()):
        if credit.heard < start:
            credits.pop(name)


def update_credit(
    credit: Credit, report: Report, time: int, now: timedelta
) -> None:
    span = (now - credit.heard).total_seconds()
    weight = min(1, span / CREDIT_SPAN)
    used = report.used - credit.used
    if span > 0:
        credit.demand += weight * (max(0, used) / span - credit.demand)
    elif used > 0:
        credit.demand += used / CREDIT_SPAN
    credit.used = report.used
    credit.limit = max(credit.limit, report.used)
    credit.time = time
    credit.heard = now
