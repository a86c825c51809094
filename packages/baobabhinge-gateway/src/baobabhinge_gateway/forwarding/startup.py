"""Calls that arrive before a process has received the deployment state.

Load pattern: all gateways start at once while callers keep sending calls.
"""

import asyncio
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState

# A store of another region answers two requests within a third of a second. A
# gateway without state after 1 s has no store; it refuses calls at once.
STARTUP_TIMEOUT = timedelta(seconds=1)
CHECK_INTERVAL = timedelta(milliseconds=5)


class StartupGate:
    """Hold calls while the process starts and has no deployment state.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the startup time.
    state : DeploymentState
        State that opens the gate once it is loaded.
    """

    __slots__ = ('_clock', '_end', '_state')

    def __init__(self, clock: Clock, state: DeploymentState) -> None:
        """Start the startup time now."""
        self._clock = clock
        self._state = state
        self._end = clock.read_monotonic() + STARTUP_TIMEOUT

    async def wait(self) -> None:
        """Return once the state is loaded or the startup time has passed."""
        while not self._state.is_loaded:
            if self._clock.read_monotonic() >= self._end:
                return
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
