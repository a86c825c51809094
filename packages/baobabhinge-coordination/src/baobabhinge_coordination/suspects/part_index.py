"""Parts of requests under which servers end, by their fingerprints."""

from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta

from baobabhinge_coordination.suspects.histories import DatedCrash
from baobabhinge_coordination.suspects.part_histories import DatedAnswer
from baobabhinge_coordination.suspects.part_retention import (
    is_outweighed,
    is_repeated,
)
from baobabhinge_coordination.suspects.part_table import PartTable
from baobabhinge_coordination.suspects.part_verdicts import (
    PartVerdicts,
    judge_parts,
)
from baobabhinge_coordination.suspects.pauses import NO_TIME


class PartIndex:
    """Crashes and answers of parts, as this member observes them.

    Parameters
    ----------
    table : PartTable
        Evidence on the parts; reports of peers are added to it.

    Notes
    -----
    `SuspectIndex` recognizes requests that come again unchanged. This index is
    for requests that have no more than a part in common, and tells that part
    from those that sound requests share with them.

    Examples
    --------
    >>> from datetime import timedelta
    >>> from baobabhinge_coordination.clock import ManualClock
    >>> from baobabhinge_coordination.suspects import DatedCrash, PartTable
    >>> clock = ManualClock()
    >>> index = PartIndex(PartTable(clock))
    >>> for server in ('server-1', 'server-2', 'server-3'):
    ...     crash = DatedCrash(server, clock.read_monotonic())
    ...     index.record_crash('a', crash)
    ...     clock.advance(timedelta(seconds=1))
    >>> index.compute_pause(['a', 'b']).total_seconds()
    1799.0
    >>> index.compute_pause(['b']).total_seconds()
    0.0
    """

    __slots__ = ('_revision', '_table', '_verdicts')

    def __init__(self, table: PartTable) -> None:
        """Store the table."""
        self._table = table
        self._revision = table.revision
        self._verdicts = PartVerdicts()

    def record_crash(
        self,
        part: str,
        crash: DatedCrash,
        regions: tuple[str, ...] = (),
    ) -> None:
        """Record that a server ended when it may have begun to answer.

        Parameters
        ----------
        part : str
            Fingerprint of a part of the request.
        crash : DatedCrash
            Incarnation of the server, and when its connection broke.
        regions : tuple of str, optional
            Regions that may learn the fingerprint; empty for all.
        """
        history = self._table.open(part, regions)
        history.add_crashes([crash])
        self._table.record_change(part, is_own=True)

    def record_answer(self, parts: Iterable[str], run: str) -> bool:
        """Record that a server has stood a run of a request.

        Parameters
        ----------
        parts : iterable of str
            Fingerprints of the parts of the request.
        run : str
            Identity of the run.

        Returns
        -------
        bool
            Whether it may change the verdict on a part.
        """
        now = self._table.clock.read_monotonic()
        is_news = False
        for part in parts:
            history = self._table.histories.get(part)
            if history is None or is_outweighed(history):
                continue
            if history.add_answer(DatedAnswer(run, now)):
                self._table.record_change(part, is_own=True)
                is_news = is_news or is_repeated(history)
        return is_news

    def compute_pause(self, parts: Collection[str]) -> timedelta:
        """Return for how long a request is refused, 0 if it is not.

        Parameters
        ----------
        parts : collection of str
            Fingerprints of the parts of the request.
        """
        now = self._table.clock.read_monotonic()
        present = frozenset(parts)
        pauses = [
            culprit.until - now
            for culprit in self._judge().culprits
            if culprit.parts <= present
        ]
        return max(pauses, default=NO_TIME)

    def list_refused(self) -> Sequence[Sequence[str]]:
        """Return the sets of parts whose requests are refused, in order."""
        now = self._table.clock.read_monotonic()
        return tuple(
            tuple(sorted(culprit.parts))
            for culprit in self._judge().culprits
            if culprit.until > now
        )

    def find_confined(self, parts: Iterable[str]) -> str | None:
        """Return the part for which a request is to be run by one server.

        ``None`` if any server may run it.
        """
        confined = self._judge().confined
        return min(confined.intersection(parts), default=None)

    def _judge(self) -> PartVerdicts:
        self._table.drop_expired()
        if self._revision != self._table.revision:
            self._verdicts = judge_parts(self._table.histories)
            self._revision = self._table.revision
        return self._verdicts
