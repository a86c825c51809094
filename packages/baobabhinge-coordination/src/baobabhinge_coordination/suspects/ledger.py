"""Ledger of crashes that peers share."""

from collections.abc import Iterable
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.suspects.crash_counts import count_crashes
from baobabhinge_coordination.suspects.expiry import (
    CULPRIT_CRASHES,
    prune_crashes,
)
from baobabhinge_coordination.suspects.records import (
    Crash,
    CrashRecord,
    SuspectVerdict,
)

MILLISECOND = timedelta(milliseconds=1)
SAME_CRASH_WINDOW = timedelta(seconds=3)


class SuspectLedger:
    """Crashes observed here or received from peers.

    Every request in flight at a crash is a suspect. A request that was in
    flight at a second crash is the culprit, provided that suspects run apart
    from one another. A suspect that gets a complete answer is cleared.

    Parameters
    ----------
    clock : Clock
        Clock by which records expire.

    Examples
    --------
    >>> from baobabhinge_coordination.clock import ManualClock
    >>> clock = ManualClock()
    >>> ledger = SuspectLedger(clock)
    >>> ledger.record('engine-1', ['a', 'b'])
    >>> ledger.clear('a')
    >>> ledger.record('engine-2', ['b'])
    >>> ledger.classify('a').value, ledger.classify('b').value
    ('clear', 'culprit')
    """

    __slots__ = ('_clock', '_crashes')

    def __init__(self, clock: Clock) -> None:
        """Start without crashes."""
        self._clock = clock
        self._crashes: list[Crash] = []

    def record(self, server: str, in_flight: Iterable[str]) -> None:
        """Record that ``server`` crashed with these requests in flight."""
        now = self._clock.read_monotonic()
        self._add(Crash(server, now, frozenset(in_flight)))

    def clear(self, fingerprint: str) -> None:
        """Clear a request that got a complete answer."""
        self._crashes = [crash.clear(fingerprint) for crash in self._crashes]

    def classify(self, fingerprint: str) -> SuspectVerdict:
        """Return whether a request is a suspect, the culprit or clear."""
        now = self._clock.read_monotonic()
        self._crashes = prune_crashes(self._crashes, now)
        count = count_crashes(self._crashes)[fingerprint]
        if count >= CULPRIT_CRASHES:
            return SuspectVerdict.culprit
        return SuspectVerdict.suspect if count else SuspectVerdict.clear

    def export(self) -> list[CrashRecord]:
        """Return the unexpired crashes, to be sent to peers."""
        now = self._clock.read_monotonic()
        self._crashes = prune_crashes(self._crashes, now)
        return [
            CrashRecord(
                crash.server,
                (now - crash.instant) // MILLISECOND,
                crash.suspects,
                crash.cleared,
            )
            for crash in self._crashes
        ]

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Apply crashes that a peer has exported."""
        now = self._clock.read_monotonic()
        for received in records:
            instant = now - received.age_ms * MILLISECOND
            self._add(
                Crash(
                    received.server,
                    instant,
                    received.suspects,
                    received.cleared,
                )
            )
        self._crashes = prune_crashes(self._crashes, now)

    def _add(self, crash: Crash) -> None:
        same = [
            known
            for known in self._crashes
            if known.is_same(crash, SAME_CRASH_WINDOW)
        ]
        for known in same:
            self._crashes.remove(known)
            crash = crash.join(known)
        self._crashes.append(crash)
