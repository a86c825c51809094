"""Bounded table of the evidence on parts of requests."""

from collections.abc import Iterator
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.suspects.history_table import REPORT_DURATION
from baobabhinge_coordination.suspects.part_histories import PartHistory
from baobabhinge_coordination.suspects.part_retention import (
    find_expiry,
    is_lasting,
    rank_retention,
)

MAX_PARTS = 1024


class PartTable:
    """Evidence by part, and which of it is reported to peers.

    Parts without a crash are not held, so that callers can't fill the table
    with parts that they invent. Beyond `MAX_PARTS`, the part with the fewest
    crashes is dropped, of several such parts the one with the oldest crash.

    Parameters
    ----------
    clock : Clock
        Clock by which evidence expires.

    Attributes
    ----------
    histories : dict of str to PartHistory
        Evidence by fingerprint of the part.
    observed : set of str
        Fingerprints of which this member has observed evidence itself.
    revision : int
        Grows with each change of the evidence.
    """

    __slots__ = (
        '_next_expiry',
        '_reported_until',
        'clock',
        'histories',
        'observed',
        'revision',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without evidence."""
        self.clock = clock
        self.histories: dict[str, PartHistory] = {}
        self.revision = 0
        self._next_expiry = clock.read_monotonic()
        self.observed: set[str] = set()
        self._reported_until: dict[str, timedelta] = {}

    def open(self, fingerprint: str, regions: tuple[str, ...]) -> PartHistory:
        """Return the evidence on a part, none yet if the part is new.

        The caller adds a crash to it and calls `record_change`.
        """
        self.drop_expired()
        known = self.histories.get(fingerprint)
        if known is not None:
            return known
        if len(self.histories) >= MAX_PARTS:
            self._drop(min(self.histories, key=self._rank))
        # It may expire before all others.
        self._next_expiry = self.clock.read_monotonic()
        self.histories[fingerprint] = PartHistory(regions)
        return self.histories[fingerprint]

    def record_change(self, fingerprint: str, *, is_own: bool) -> None:
        """Record new evidence on a part, and report it to peers.

        Evidence of this member is reported for `REPORT_DURATION`, with all that
        is known of the part. A part with enough crashes to be refused is
        reported by all members until it expires or answers outweigh them, so
        that a peer that restarts learns of it.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the part.
        is_own : bool
            Whether this member has observed the new evidence.
        """
        self.revision += 1
        if is_own:
            self.observed.add(fingerprint)
        # Moves it behind all others.
        before = self._reported_until.pop(fingerprint, timedelta())
        if is_lasting(self.histories[fingerprint]):
            self._reported_until[fingerprint] = timedelta.max
        elif is_own or before:
            end = self.clock.read_monotonic() + REPORT_DURATION
            self._reported_until[fingerprint] = end

    def drop_expired(self) -> None:
        """Drop the parts whose evidence is too old."""
        now = self.clock.read_monotonic()
        if now < self._next_expiry:
            return
        expiries = {
            fingerprint: find_expiry(history)
            for fingerprint, history in self.histories.items()
        }
        for fingerprint, expiry in expiries.items():
            if expiry <= now:
                self._drop(fingerprint)
        # Later crashes only delay the expiry of a part.
        self._next_expiry = min(
            (one for one in expiries.values() if one > now), default=now
        )

    def iterate_reported(self) -> Iterator[tuple[str, PartHistory]]:
        """Iterate over the reported parts.

        Those that are reported until they expire come first, then the latest
        changes.
        """
        self.drop_expired()
        now = self.clock.read_monotonic()
        latest = sorted(
            reversed(self._reported_until),
            key=lambda one: self._reported_until[one] < timedelta.max,
        )
        for fingerprint in latest:
            if self._reported_until[fingerprint] < now:
                self._reported_until.pop(fingerprint)
            else:
                yield fingerprint, self.histories[fingerprint]

    def _rank(self, fingerprint: str) -> tuple[int, timedelta]:
        return rank_retention(self.histories[fingerprint])

    def _drop(self, fingerprint: str) -> None:
        self.histories.pop(fingerprint)
        self.observed.discard(fingerprint)
        self._reported_until.pop(fingerprint, None)
        self.revision += 1
