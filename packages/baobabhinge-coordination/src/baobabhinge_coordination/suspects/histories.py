"""History of one request: crashes, runs and answers."""

from collections.abc import Iterable, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.suspects.crash_counts import (
    SEPARATE_CRASH_INTERVAL,
)

# Wall clocks of vms may differ by this much. A crash that was read from the
# store is dated by those of its writer and of its reader.
WALL_CLOCK_TOLERANCE = timedelta(seconds=30)


class DatedCrash(msgspec.Struct, frozen=True):
    """Crash of a server, dated by the local monotonic clock.

    Parameters
    ----------
    server : str
        Name of the incarnation of the server.
    instant : timedelta
        Monotonic time of the crash.
    read : timedelta or None
        Monotonic time at which it was read from the store, before which it
        happened. Its instant is then known by wall clocks only.
    """

    server: str
    instant: timedelta
    read: timedelta | None = None

    def is_same(self, other: 'DatedCrash') -> bool:
        """Return whether both may be observations of one crash.

        A server may start again under its name, but not sooner than this.
        """
        if self.server != other.server:
            return False
        is_rough = self._may_precede(other) or other._may_precede(self)
        tolerance = (
            WALL_CLOCK_TOLERANCE if is_rough else SEPARATE_CRASH_INTERVAL
        )
        return abs(self.instant - other.instant) < tolerance

    def _may_precede(self, other: 'DatedCrash') -> bool:
        """Return whether a rough instant may stand for that of ``other``."""
        if self.read is None:
            return False
        return other.read is not None or other.instant <= self.read


def list_unknown(
    crashes: Iterable[DatedCrash], known: Iterable[DatedCrash]
) -> Sequence[DatedCrash]:
    """Return the crashes of one observer that are not among ``known``.

    An observer tells each crash once, so that each known crash is the same as
    one of them at most: a server may end again under its name within the
    tolerance of wall clocks.

    Parameters
    ----------
    crashes : iterable of DatedCrash
        Crashes that one observer has told.
    known : iterable of DatedCrash
        Crashes that are known already.
    """
    unmatched = list(known)
    unknown = []
    for crash in crashes:
        same = next((one for one in unmatched if crash.is_same(one)), None)
        if same is None:
            unknown.append(crash)
        else:
            unmatched.remove(same)
    return unknown


class RequestHistory:
    """Crashes under one request since its last answer, and its latest run.

    Parameters
    ----------
    regions : tuple of str
        Regions that may learn the fingerprint; empty for all.

    Attributes
    ----------
    crashes : list of DatedCrash
        Crashes in the order in which they became known.
    run, answer : timedelta or None
        Instants of the latest run after repeated crashes, and of the latest
        answer.
    """

    __slots__ = ('answer', 'crashes', 'regions', 'run')

    def __init__(self, regions: tuple[str, ...]) -> None:
        """Start without crashes."""
        self.regions = regions
        self.crashes: list[DatedCrash] = []
        self.run: timedelta | None = None
        self.answer: timedelta | None = None

    def add_crashes(self, crashes: Iterable[DatedCrash]) -> None:
        """Add what one observer tells, as far as it is not known.

        Crashes that are older than the latest answer do not count.
        """
        counted = [
            crash
            for crash in crashes
            if not self.is_answered_since(crash.instant)
        ]
        self.crashes.extend(list_unknown(counted, self.crashes))

    def is_answered_since(self, instant: timedelta) -> bool:
        """Return whether the request was answered at ``instant`` or later."""
        return self.answer is not None and instant <= self.answer

    def record_run(self, instant: timedelta) -> None:
        """Record a run after repeated crashes."""
        self.run = max(instant, self.run or instant)

    def record_answer(self, instant: timedelta) -> None:
        """Record an answer, after which earlier crashes do not count."""
        self.answer = max(instant, self.answer or instant)
        self.crashes = [
            crash
            for crash in self.crashes
            if not self.is_answered_since(crash.instant)
        ]
