"""Callers that leave at random, and what goes on for them."""

import asyncio
from collections.abc import Sequence
from contextlib import suppress
from random import Random

import msgspec

from baobabhinge_standins.host.arrivals import Arrival, list_runs
from baobabhinge_standins.host.departing import DepartingCaller
from baobabhinge_standins.host.process_changes import ProcessChanges
from baobabhinge_standins.host.scene import HostScene

# The bound of the rule on runs for callers that have left.
END_SECONDS = 0.5
# Between the noticing of this process and that of a gateway.
SLACK_SECONDS = 0.1
WORK_SECONDS = 1.5
CALLERS = 12
MAX_AHEAD = 40
MAX_STAY_SECONDS = 0.8
AHEAD_BYTES = 1000
PATHS = ('/safe/a', '/once/a', '/stream/stream')


class Departure(msgspec.Struct, frozen=True):
    """A caller that has left.

    Parameters
    ----------
    gateway : str
        Gateway that it used.
    attempts : frozenset of str
        Attempts that it had sent.
    instant : float
        Time of the event loop, in seconds.
    """

    gateway: str
    attempts: frozenset[str]
    instant: float


class DepartingCrowd:
    """Callers that leave at random, and changes of the gateways meanwhile.

    Parameters
    ----------
    scene : HostScene
        Store and servers.
    changes : ProcessChanges
        Stops, restarts and replaces the gateways.
    random : Random
        Generator of all choices.
    """

    __slots__ = ('_changes', '_departures', '_random', '_scene')

    def __init__(
        self, scene: HostScene, changes: ProcessChanges, random: Random
    ) -> None:
        """Play nothing yet."""
        self._scene = scene
        self._changes = changes
        self._random = random
        self._departures: list[Departure] = []

    async def play(self, seconds: float) -> None:
        """Let callers come and leave beside the changes for a while."""
        async with asyncio.TaskGroup() as playing:
            for _ in range(CALLERS):
                playing.create_task(self._leave_again(seconds))
            playing.create_task(self._changes.play(seconds))
        await asyncio.sleep(END_SECONDS + SLACK_SECONDS)

    def list_violations(self) -> Sequence[str]:
        """Return the runs that began, or went on, too long after a leaving."""
        runs = {
            run.attempt: run
            for server in self._scene.servers.values()
            for run in list_runs(server)
        }
        return [
            _describe(departure, runs[attempt])
            for departure in self._departures
            for attempt in departure.attempts
            if attempt in runs and self._is_late(departure, runs[attempt])
        ]

    def _is_late(self, departure: Departure, run: Arrival) -> bool:
        # A process that was stopped meanwhile could not notice it before.
        known = self._changes.find_running_since(departure.instant)
        latest = known + END_SECONDS + SLACK_SECONDS
        if run.instant > latest:
            return True
        ended = run.instant + WORK_SECONDS if run.left is None else run.left
        return run.instant < known < ended and ended > latest

    async def _leave_again(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            # A gateway that is being replaced refuses connections.
            with suppress(OSError):
                await self._leave_once()
            await asyncio.sleep(self._random.random() / CALLERS)

    async def _leave_once(self) -> None:
        gateway = self._random.choice(self._changes.names)
        caller = DepartingCaller(self._scene.addresses.find(gateway, 'front'))
        self._send_some(caller)
        longest = self._random.choice((0, MAX_STAY_SECONDS))
        await asyncio.sleep(self._random.random() * longest)
        caller.leave(resets=self._random.choice((False, True)))
        now = asyncio.get_running_loop().time()
        self._departures.append(
            Departure(gateway, frozenset(caller.attempts), now)
        )

    def _send_some(self, caller: DepartingCaller) -> None:
        path = self._random.choice(PATHS)
        ahead = self._random.choice((0, 0, 1, MAX_AHEAD))
        with suppress(BlockingIOError):
            for _ in range(1 + ahead):
                caller.send(path, b'x' * AHEAD_BYTES)


def _describe(departure: Departure, run: Arrival) -> str:
    begun = run.instant - departure.instant
    ended = run.left and run.left - departure.instant
    return (
        f'{run.attempt}, {run.target} through {departure.gateway}: seconds '
        f'from its leaving to its run {begun}, to the end of it {ended}'
    )
