"""Runs for which nobody waits any longer, and whose servers may have ended.

Load pattern: callers that leave early, or whose time limits pass, send the same
request again and again, and each server that runs it ends after they have left.
"""

from collections import OrderedDict
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.fingerprints import fingerprint_call
from baobabhinge_gateway.forwarding.part_fingerprints import fingerprint_parts
from baobabhinge_gateway.forwarding.part_tracking import is_beginning

MAX_RUNS = 4096


class AbandonedRun(msgspec.Struct, frozen=True):
    """Run that was abandoned before its answer was complete.

    Parameters
    ----------
    server : BackendServer
        The server.
    instant : timedelta
        When it was abandoned.
    fingerprint : str
        Fingerprint of the request.
    parts : tuple of str
        Fingerprints of the parts of its prompt, if the answer had not begun.
    regions : tuple of str
        Regions that may learn the fingerprints.
    """

    server: BackendServer
    instant: timedelta
    fingerprint: str
    parts: tuple[str, ...]
    regions: tuple[str, ...]


class AbandonedRunTable:
    """Latest abandoned runs.

    Parameters
    ----------
    clock : Clock
        Clock of the runs.
    retention : timedelta
        Time for which a run is kept.
    """

    __slots__ = ('_clock', '_retention', '_runs')

    def __init__(self, clock: Clock, retention: timedelta) -> None:
        """Start without runs."""
        self._clock = clock
        self._retention = retention
        self._runs: OrderedDict[tuple[str, str], AbandonedRun] = OrderedDict()

    def record(self, call: Call, server: BackendServer) -> None:
        """Record that nobody waits any longer for the run of ``call``."""
        key = (server.name, fingerprint_call(call))
        begins = is_beginning(call, self._clock)
        self._runs.pop(key, None)
        self._runs[key] = AbandonedRun(
            server,
            self._clock.read_monotonic(),
            key[1],
            tuple(fingerprint_parts(call)) if begins else (),
            call.regions,
        )
        self._drop_expired()

    def remove(self, server: str) -> Sequence[AbandonedRun]:
        """Remove and return the runs at one server."""
        self._drop_expired()
        keys = [key for key in self._runs if key[0] == server]
        return [self._runs.pop(key) for key in keys]

    def _drop_expired(self) -> None:
        oldest = self._clock.read_monotonic() - self._retention
        while self._runs:
            key = next(iter(self._runs))
            is_kept = self._runs[key].instant >= oldest
            if is_kept and len(self._runs) <= MAX_RUNS:
                break
            self._runs.pop(key)
