"""Retry budget that all gateways share.

Load pattern: backend servers that fail or decline many of their calls while
all gateways retry them.
"""

from collections import defaultdict, deque
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# The rest is reserved for gateways that were replaced within the window, as
# their retries are not known any more.
USABLE_FRACTION = 0.5


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """Bounds on the retries of all gateways together.

    Parameters
    ----------
    ratio : float
        Retries for each first attempt.
    slack : float
        Retries per window beyond that, of all gateways together.
    window : timedelta
        Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: timedelta = timedelta(seconds=10)


class SharedRetryBudget:
    """This gateway's share of the retry budget, for each service.

    Parameters
    ----------
    limits : RetryBudgetLimits
        Budget of all gateways together.
    clock : Clock
        Clock of the window.

    Attributes
    ----------
    gateway_count : int
        Live gateways that share the slack.
    limits : RetryBudgetLimits
        Limits in force.
    """

    __slots__ = ('_calls', '_clock', '_retries', 'gateway_count', 'limits')

    def __init__(self, limits: RetryBudgetLimits, clock: Clock) -> None:
        """Start with an unused budget and without other gateways."""
        self.limits = limits
        self._clock = clock
        self._calls: defaultdict[str, deque[timedelta]] = defaultdict(deque)
        self._retries: defaultdict[str, deque[timedelta]] = defaultdict(deque)
        self.gateway_count = 1

    def record_call(self, service: str) -> None:
        """Count the first attempt of a call to ``service``."""
        self._drop_expired(self._calls[service])
        self._calls[service].append(self._clock.read_monotonic())

    def try_acquire(self, service: str) -> bool:
        """Count a retry of a call to ``service`` if the budget allows it."""
        retries = self._drop_expired(self._retries[service])
        calls = len(self._drop_expired(self._calls[service]))
        slack = self.limits.slack / max(1, self.gateway_count)
        allowed = USABLE_FRACTION * (self.limits.ratio * calls + slack)
        if len(retries) + 1 > allowed:
            return False
        retries.append(self._clock.read_monotonic())
        return True

    def _drop_expired(self, times: deque[timedelta]) -> deque[timedelta]:
        start = self._clock.read_monotonic() - self.limits.window
        while times and times[0] < start:
            times.popleft()
        return times
