"""Requests under which servers ended, by their fingerprints.

Load pattern: a caller that sends a request again through any member, while
each server that runs it ends.
"""

from datetime import timedelta

from baobabhinge_coordination.suspects.histories import DatedCrash
from baobabhinge_coordination.suspects.history_table import HistoryTable
from baobabhinge_coordination.suspects.pauses import (
    NO_TIME,
    compute_pause,
    is_repeated,
)


class SuspectIndex:
    """Crashes, runs and answers of requests, as this member observes them.

    A request is run again after one crash. After two it is refused until
    `SECOND_RUN_PAUSE` has passed, then run once; after three it is refused. An
    answer clears it.

    Parameters
    ----------
    histories : HistoryTable
        Histories of the requests; reports of peers are added to it.

    Notes
    -----
    `SuspectLedger` holds all crashes of all peers with all their suspects. This
    index is for peers that exchange datagrams: a report takes few bytes, and
    may arrive late, twice and in any order.

    Examples
    --------
    >>> from baobabhinge_coordination.clock import ManualClock
    >>> from baobabhinge_coordination.suspects import HistoryTable
    >>> index = SuspectIndex(HistoryTable(ManualClock()))
    >>> index.record_crash('a', 'server-1')
    >>> index.record_crash('a', 'server-2')
    >>> index.compute_pause('a').total_seconds()
    15.0
    >>> index.record_answer('a')
    >>> index.compute_pause('a').total_seconds()
    0.0
    """

    __slots__ = ('_histories',)

    def __init__(self, histories: HistoryTable) -> None:
        """Store the table."""
        self._histories = histories

    @property
    def is_empty(self) -> bool:
        """Whether no request is remembered."""
        return not self._histories

    def record_crash(
        self,
        fingerprint: str,
        server: str,
        regions: tuple[str, ...] = (),
    ) -> None:
        """Record that a server ended while it ran a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        server : str
            Name of the incarnation of the server.
        regions : tuple of str, optional
            Regions that may learn the fingerprint; empty for all.
        """
        history = self._histories.open(fingerprint, regions)
        now = self._histories.clock.read_monotonic()
        history.add_crashes([DatedCrash(server, now)])
        self._record_observation(fingerprint)

    def record_run(self, fingerprint: str) -> None:
        """Record that a request is run again, if it crashed repeatedly.

        Until its outcome is known, it is not run elsewhere.
        """
        history = self._histories.find(fingerprint)
        if history is not None and is_repeated(history):
            history.record_run(self._histories.clock.read_monotonic())
            self._record_observation(fingerprint)

    def record_answer(self, fingerprint: str) -> None:
        """Record that a server has answered a request."""
        history = self._histories.find(fingerprint)
        if history is not None and history.crashes:
            history.record_answer(self._histories.clock.read_monotonic())
            self._record_observation(fingerprint)

    def compute_pause(self, fingerprint: str) -> timedelta:
        """Return the time until a request may be run again, 0 for now."""
        history = self._histories.find(fingerprint)
        if history is None:
            return NO_TIME
        return compute_pause(history, self._histories.clock.read_monotonic())

    def _record_observation(self, fingerprint: str) -> None:
        self._histories.observed.add(fingerprint)
        self._histories.report(fingerprint)
