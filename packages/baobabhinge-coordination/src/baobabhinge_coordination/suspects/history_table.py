"""Bounded table of the histories of requests."""

from collections import OrderedDict
from collections.abc import Iterator
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.suspects.histories import RequestHistory
from baobabhinge_coordination.suspects.pauses import is_expired, is_repeated

# Several messages carry a report, as datagrams are lost now and then.
REPORT_DURATION = timedelta(seconds=1.5)
MAX_REQUESTS = 1024


class HistoryTable:
    """Histories by fingerprint, and which of them are reported to peers.

    Parameters
    ----------
    clock : Clock
        Clock by which histories expire.

    Attributes
    ----------
    by_fingerprint : OrderedDict of str to RequestHistory
        The histories, that which was opened last at the end.
    observed : set of str
        Fingerprints of which this member has observed something itself.
    """

    __slots__ = ('_reported_until', 'by_fingerprint', 'clock', 'observed')

    def __init__(self, clock: Clock) -> None:
        """Start without histories."""
        self.clock = clock
        self.by_fingerprint: OrderedDict[str, RequestHistory] = OrderedDict()
        self.observed: set[str] = set()
        self._reported_until: dict[str, timedelta] = {}

    def __len__(self) -> int:
        """Return the number of requests with a history."""
        return len(self.by_fingerprint)

    def find(self, fingerprint: str) -> RequestHistory | None:
        """Return the history of a request, if it has one."""
        return self.by_fingerprint.get(fingerprint)

    def open(
        self, fingerprint: str, regions: tuple[str, ...]
    ) -> RequestHistory:
        """Return the history of a request, a new one if it has none.

        The requests that were not opened for the longest time are dropped.
        """
        known = self.by_fingerprint.get(fingerprint)
        if known and is_expired(known, self.clock.read_monotonic()):
            self._drop(fingerprint)
        history = self.by_fingerprint.setdefault(
            fingerprint, RequestHistory(regions)
        )
        self.by_fingerprint.move_to_end(fingerprint)
        while len(self.by_fingerprint) > MAX_REQUESTS:
            self._drop(next(iter(self.by_fingerprint)))
        return history

    def report(self, fingerprint: str) -> None:
        """Report a request to peers for `REPORT_DURATION`.

        One under which servers ended repeatedly is reported until it expires,
        so that a restarted peer learns of it.
        """
        now = self.clock.read_monotonic()
        # Moves it behind all others.
        self._reported_until.pop(fingerprint, None)
        is_lasting = is_repeated(self.by_fingerprint[fingerprint])
        self._reported_until[fingerprint] = (
            timedelta.max if is_lasting else now + REPORT_DURATION
        )

    def iterate_reported(self) -> Iterator[tuple[str, RequestHistory]]:
        """Iterate over the reported requests, the latest change first."""
        now = self.clock.read_monotonic()
        for fingerprint in tuple(reversed(self._reported_until)):
            history = self.by_fingerprint[fingerprint]
            if is_expired(history, now):
                self._drop(fingerprint)
            elif self._reported_until[fingerprint] < now:
                self._reported_until.pop(fingerprint)
            else:
                yield fingerprint, history

    def _drop(self, fingerprint: str) -> None:
        self.by_fingerprint.pop(fingerprint)
        self.observed.discard(fingerprint)
        self._reported_until.pop(fingerprint, None)
