"""When a gateway writes its evidence on crashing requests to the store.

Load pattern: many servers end at the same moment, each under calls of many
gateways, while gateways are replaced and write to the store as well.
"""

from datetime import timedelta

from baobabhinge_coordination.suspects.expiry import CULPRIT_CRASHES
from baobabhinge_coordination.suspects.pauses import NO_TIME
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.crash_archive import (
    CrashArchive,
    CrashRecord,
)

# Of the writes that the store takes from all gateways.
WRITE_SHARE = 0.1
SHORTEST_INTERVAL = timedelta(milliseconds=250)
EMPTY_RECORD = CrashRecord(0)


class ArchiveSchedule:
    """Compare the evidence of a gateway with what it has stored.

    Parameters
    ----------
    core : GatewayCore
        Its evidence is stored.
    archive : CrashArchive
        Composes the records.

    Attributes
    ----------
    stored : CrashRecord
        Evidence of this gateway that the store has.
    """

    __slots__ = (
        '_archive',
        '_changes',
        '_clock',
        '_core',
        '_written',
        'stored',
    )

    def __init__(self, core: GatewayCore, archive: CrashArchive) -> None:
        """Start with nothing stored."""
        self._core = core
        self._archive = archive
        self._changes = core.state.crashes.changes
        self._clock = core.state.clock
        self._written = self._clock.read_monotonic()
        self.stored = EMPTY_RECORD

    def is_current(self) -> bool:
        """Return whether the store has all evidence of this gateway."""
        is_current = self._archive.read_state() == self.stored
        if is_current:
            self._changes.is_stored = True
        return is_current

    def record_written(self, state: CrashRecord) -> None:
        """Record that the store has the evidence of an earlier moment."""
        self.stored = state
        self._written = self._clock.read_monotonic()

    def measure_interval(self) -> timedelta:
        """Return the usual time between two writes of this gateway."""
        gateways = 1 + len(self._core.gateways.list_live())
        share = WRITE_SHARE * self._core.settings.store_writes_per_second
        return max(SHORTEST_INTERVAL, timedelta(seconds=gateways / share))

    async def wait_until_due(self) -> None:
        """Wait until the evidence is to be written.

        Gateways that observe the same crash write at different times. Evidence
        on repeated crashes is written at once, as the process may end together
        with all others.
        """
        interval = self.measure_interval()
        delay = interval * self._core.ingress.random.random()
        due = max(
            self._clock.read_monotonic() + delay, self._written + interval
        )
        left = self._measure_left(due)
        while left > NO_TIME:
            await self._changes.wait(left)
            left = self._measure_left(due)

    def _measure_left(self, due: timedelta) -> timedelta:
        """Return the time until the evidence is to be written."""
        if _is_urgent(self.stored, self._archive.read_state()):
            due = self._written + SHORTEST_INTERVAL
        return due - self._clock.read_monotonic()


def _is_urgent(stored: CrashRecord, current: CrashRecord) -> bool:
    """Return whether evidence on repeated crashes is not stored."""
    known = frozenset(stored.list_reports())
    return any(
        len(report.crashes) >= CULPRIT_CRASHES and report not in known
        for report in current.list_reports()
    )
