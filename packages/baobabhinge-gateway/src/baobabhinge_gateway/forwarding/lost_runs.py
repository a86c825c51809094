"""Runs without an answer, until it is known whether their servers ended."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.abandoned_runs import AbandonedRunTable
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.fingerprints import fingerprint_call
from baobabhinge_gateway.forwarding.part_fingerprints import fingerprint_parts
from baobabhinge_gateway.forwarding.part_tracking import is_beginning

# A server that neither passes its health checks nor fails them as one that has
# ended is not held to have ended.
MAX_DOUBT = timedelta(seconds=5)


class LostRuns(msgspec.Struct):
    """Runs that were lost with one server.

    Parameters
    ----------
    server : BackendServer
        The server.
    since : timedelta
        Instant of the first loss.
    requests : dict of str to tuple of str
        Fingerprints of the requests, and the regions that may learn them.
    parts : dict of str to tuple of str
        Fingerprints of the parts of prompts whose answers had not begun, or
        just now, and the regions that may learn them.
    """

    server: BackendServer
    since: timedelta
    requests: dict[str, tuple[str, ...]] = {}
    parts: dict[str, tuple[str, ...]] = {}


class LostRunTable:
    """Lost and abandoned runs by server.

    Parameters
    ----------
    clock : Clock
        Clock of the losses.

    Attributes
    ----------
    abandoned : AbandonedRunTable
        Runs for which nobody waits any longer. Their servers are not checked
        for that alone.
    has_new : asyncio.Event
        Set when a run is lost, so that its server is checked at once.
    """

    __slots__ = ('_clock', '_lost', 'abandoned', 'has_new')

    def __init__(self, clock: Clock) -> None:
        """Start without lost runs."""
        self._clock = clock
        self._lost: dict[str, LostRuns] = {}
        self.abandoned = AbandonedRunTable(clock, MAX_DOUBT)
        self.has_new = asyncio.Event()

    def record(self, call: Call, server: BackendServer) -> None:
        """Record that the connection broke on which ``server`` ran ``call``."""
        lost = self._lost.setdefault(
            server.name, LostRuns(server, self._clock.read_monotonic())
        )
        lost.requests[fingerprint_call(call)] = call.regions
        if is_beginning(call, self._clock):
            for part in fingerprint_parts(call):
                lost.parts[part] = call.regions
        self.has_new.set()

    def record_removal(self, server: str) -> None:
        """Record that ``server`` is listed no longer, as after its end.

        It is checked if a run was abandoned there.
        """
        self._add_abandoned(server)
        if server in self._lost:
            self.has_new.set()

    def list_servers(self) -> Sequence[BackendServer]:
        """Return the servers of which it is not known whether they ended."""
        oldest = self._clock.read_monotonic() - MAX_DOUBT
        self._lost = {
            name: lost
            for name, lost in self._lost.items()
            if lost.since >= oldest
        }
        return [lost.server for lost in self._lost.values()]

    def has_lost(self, server: str) -> bool:
        """Return whether any run was lost with ``server``, or abandoned."""
        self._add_abandoned(server)
        return server in self._lost

    def remove(self, server: str) -> LostRuns | None:
        """Remove and return the runs that were lost with ``server``.

        Those that were abandoned are among them.
        """
        self._add_abandoned(server)
        return self._lost.pop(server, None)

    def _add_abandoned(self, server: str) -> None:
        for run in self.abandoned.remove(server):
            lost = self._lost.setdefault(
                server, LostRuns(run.server, run.instant)
            )
            lost.requests[run.fingerprint] = run.regions
            lost.parts.update(dict.fromkeys(run.parts, run.regions))
