"""Calls that come before a process knows the deployment.

Load pattern: all gateways start at once while callers press.
"""

import asyncio
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.knowledge import Knowledge

# A store of another region answers two calls in a third of a second; whoever
# knows nothing after a second has no store, and refuses at once.
START_TIME = timedelta(seconds=1)
CHECK_INTERVAL = timedelta(milliseconds=5)


class StartGate:
    """Hold calls while the process starts and knows nothing.

    Parameters
    ----------
    clock : Clock
        Clock of the start.
    knowledge : Knowledge
        What the process learns.
    """

    __slots__ = ('_clock', '_end', '_known')

    def __init__(self, clock: Clock, knowledge: Knowledge) -> None:
        """Start now."""
        self._clock = clock
        self._known = knowledge
        self._end = clock.read_monotonic() + START_TIME

    async def wait(self) -> None:
        """Return once the deployment is known, or the start is over."""
        while not self._known.is_informed:
            if self._clock.read_monotonic() >= self._end:
                return
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
