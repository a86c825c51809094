"""Calls that come before a process knows the deployment.

Load pattern: all gateways start at once while callers press.
"""

import asyncio
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState

# A store of another region answers two calls in a third of a second; whoever
# knows nothing after a second has no store, and refuses at once.
STARTUP_TIMEOUT = timedelta(seconds=1)
CHECK_INTERVAL = timedelta(milliseconds=5)


class StartupGate:
    """Hold calls while the process starts and knows nothing.

    Parameters
    ----------
    clock : Clock
        Clock of the start.
    state : DeploymentState
        What the process learns.
    """

    __slots__ = ('_clock', '_end', '_state')

    def __init__(self, clock: Clock, state: DeploymentState) -> None:
        """Start now."""
        self._clock = clock
        self._state = state
        self._end = clock.read_monotonic() + STARTUP_TIMEOUT

    async def wait(self) -> None:
        """Return once the deployment is known, or the start is over."""
        while not self._state.is_loaded:
            if self._clock.read_monotonic() >= self._end:
                return
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
