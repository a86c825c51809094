"""Sending a call once more, under one budget for all gateways.

Load pattern: backend servers that fail or decline a large share of their calls
while all gateways try them again.
"""

from collections import defaultdict, deque
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# Half of the budget is left for gateways that were replaced in the window,
# whose spending nobody remembers.
OWN_SHARE = 0.5


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """How many repeats all gateways together may send.

    Parameters
    ----------
    ratio : float
        Repeats for each fresh call.
    slack : float
        Repeats beyond that, in one window, of all gateways together.
    window : timedelta
        Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: timedelta = timedelta(seconds=10)


class SharedRetryBudget:
    """This gateway's share of the retry budget, by service.

    Parameters
    ----------
    limits : RetryBudgetLimits
        Budget of all gateways.
    clock : Clock
        Clock of the window.

    Attributes
    ----------
    gateway_count : int
        Live gateways that share the slack.
    limits : RetryBudgetLimits
        Terms in force.
    """

    __slots__ = ('_clock', '_fresh', '_repeats', 'gateway_count', 'limits')

    def __init__(self, limits: RetryBudgetLimits, clock: Clock) -> None:
        """Start with nothing spent."""
        self.limits = limits
        self._clock = clock
        self._fresh: defaultdict[str, deque[timedelta]] = defaultdict(deque)
        self._repeats: defaultdict[str, deque[timedelta]] = defaultdict(deque)
        self.gateway_count = 1

    def record_call(self, service: str) -> None:
        """Count one fresh call to ``service``."""
        self._trim(self._fresh[service])
        self._fresh[service].append(self._clock.read_monotonic())

    def try_acquire(self, service: str) -> bool:
        """Count one repeat if the budget allows it."""
        repeats = self._trim(self._repeats[service])
        fresh = len(self._trim(self._fresh[service]))
        slack = self.limits.slack / max(1, self.gateway_count)
        allowed = OWN_SHARE * (self.limits.ratio * fresh + slack)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._clock.read_monotonic())
        return True

    def _trim(self, times: deque[timedelta]) -> deque[timedelta]:
        start = self._clock.read_monotonic() - self.limits.window
        while times and times[0] < start:
            times.popleft()
        return times
