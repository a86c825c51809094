"""Requests under which backend servers end, and their refusal.

Load pattern: a request that ends each server which runs it, and that its caller
sends again through any gateway.
"""

import asyncio
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.suspects import (
    DatedCrash,
    HistoryTable,
    SuspectIndex,
    SuspectReporter,
)
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.crashing_calls import CrashingCallError
from baobabhinge_gateway.forwarding.evidence_changes import EvidenceChanges
from baobabhinge_gateway.forwarding.fingerprints import fingerprint_call
from baobabhinge_gateway.forwarding.lost_runs import LostRunTable
from baobabhinge_gateway.forwarding.part_tracking import (
    PartTracker,
    is_beginning,
)

log = structlog.get_logger(__name__)


class CrashTracker:
    """Track requests that are in flight when servers end.

    A run whose connection broke counts once a health check shows that the
    server has ended: connections are refused, or another incarnation answers.

    Parameters
    ----------
    local_region : str
        Region of this gateway; requests that may not be served there are not
        looked up.
    clock : Clock
        Clock of the crashes.

    Attributes
    ----------
    lost_runs : LostRunTable
        Runs whose servers may have ended.
    parts : PartTracker
        Parts of prompts under which servers end.
    histories : HistoryTable
        Requests under which servers ended.
    reporter : SuspectReporter
        Reports to and from other gateways.
    has_news : asyncio.Event
        Set when other gateways are to be told of a crash, or of a run or an
        answer after repeated crashes, at once.
    changes : EvidenceChanges
        The same for the store.
    """

    __slots__ = (
        '_clock',
        '_index',
        '_local_region',
        'changes',
        'has_news',
        'histories',
        'lost_runs',
        'parts',
        'reporter',
    )

    def __init__(self, local_region: str, clock: Clock) -> None:
        """Start without crashes."""
        self._clock = clock
        self.histories = HistoryTable(clock)
        self._index = SuspectIndex(self.histories)
        self._local_region = local_region
        self.reporter = SuspectReporter(self.histories)
        self.lost_runs = LostRunTable(clock)
        self.parts = PartTracker(local_region, clock)
        self.has_news = asyncio.Event()
        self.changes = EvidenceChanges()

    def check(self, call: Call) -> None:
        """Refuse a call under which servers ended.

        Raises
        ------
        CrashingCallError
            If it may not be run now; it says when it may.
        """
        self.parts.check(call)
        if not _is_tracked(call, self._local_region, self._index):
            return
        pause = self._index.compute_pause(fingerprint_call(call))
        if pause > timedelta():
            raise CrashingCallError(
                'servers ended while they ran this request', pause
            )

    def record_run(self, call: Call) -> None:
        """Record that ``call`` is sent to a server."""
        if not _is_tracked(call, self._local_region, self._index):
            return
        fingerprint = fingerprint_call(call)
        self._index.record_run(fingerprint)
        if self._index.compute_pause(fingerprint):
            _notify(self)

    def record_answer(self, call: Call) -> None:
        """Record that a server answered ``call``, and did not end under it."""
        if _is_tracked(call, self._local_region, self._index):
            self._index.record_answer(fingerprint_call(call))

    def record_progress(self, call: Call) -> None:
        """Record that a server goes on with the answer to ``call``."""
        if not is_beginning(call, self._clock):
            self.record_stood_run(call)

    def record_end(self, server: str) -> None:
        """Count the end of ``server`` against the requests lost with it."""
        lost = self.lost_runs.remove(server)
        if lost is None:
            return
        log.warning(
            'backend-server-ended',
            server=server,
            fingerprints=sorted(lost.requests),
            parts=sorted(lost.parts),
        )
        for fingerprint, regions in lost.requests.items():
            self._index.record_crash(fingerprint, server, regions)
        self.parts.record_crash(DatedCrash(server, lost.since), lost.parts)
        _notify(self)

    def record_stood_run(self, call: Call) -> None:
        """Record that a server stood a run of ``call``, whatever its prompt."""
        if self.parts.record_answer(call):
            _notify(self)


def _notify(crashes: CrashTracker) -> None:
    crashes.has_news.set()
    crashes.changes.record()


def _is_tracked(call: Call, region: str, index: SuspectIndex) -> bool:
    return call.allows(region) and not index.is_empty
