"""Reports about parts of requests, as sent to peers."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from itertools import islice

import msgspec

from baobabhinge_coordination.bounds import Milliseconds
from baobabhinge_coordination.suspects.crash_ages import (
    MILLISECOND,
    compute_age,
    date_crash,
)
from baobabhinge_coordination.suspects.observations import (
    list_observed_parts,
)
from baobabhinge_coordination.suspects.part_histories import (
    DatedAnswer,
    PartHistory,
)
from baobabhinge_coordination.suspects.part_table import PartTable
from baobabhinge_coordination.suspects.reports import CrashAge

# A report has some 100 bytes, so all of them fit into two packets.
MAX_REPORTS = 24


class AnswerAge(msgspec.Struct, array_like=True, frozen=True):
    """Answer of a server that stayed up.

    Parameters
    ----------
    run : str
        Identity of the run.
    age_ms : int
        Time since then, in milliseconds.
    """

    run: str
    age_ms: Milliseconds


class PartReport(msgspec.Struct, array_like=True, frozen=True):
    """What a member knows of one part.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the part.
    regions : tuple of str
        Regions that may learn the fingerprint; empty for all.
    crashes : tuple of CrashAge
        Servers that ended when they began to answer a request with it.
    answers : tuple of AnswerAge
        Answers to requests with it since the first of these crashes.
    """

    fingerprint: str
    regions: tuple[str, ...]
    crashes: tuple[CrashAge, ...] = ()
    answers: tuple[AnswerAge, ...] = ()

    def may_reach(self, region: str) -> bool:
        """Return whether gateways of ``region`` may learn the fingerprint."""
        return not self.regions or region in self.regions


class PartReporter:
    """Send evidence on parts to peers, and apply theirs.

    Reports hold ages, as the clocks of peers differ.

    Parameters
    ----------
    table : PartTable
        Evidence by part.
    """

    __slots__ = ('_table',)

    def __init__(self, table: PartTable) -> None:
        """Store the table."""
        self._table = table

    def export(self, region: str) -> Sequence[PartReport]:
        """Return the reports for peers of ``region``, `MAX_REPORTS` at most."""
        now = self._table.clock.read_monotonic()
        reports = (
            _build_report(fingerprint, history, now)
            for fingerprint, history in self._table.iterate_reported()
        )
        allowed = (report for report in reports if report.may_reach(region))
        return tuple(islice(allowed, MAX_REPORTS))

    def export_observed(
        self, now: timedelta, *, with_repeated: bool
    ) -> Sequence[PartReport]:
        """Return what this member has observed, with ages as of ``now``.

        Parameters
        ----------
        now : timedelta
            Instant on the clock of the table.
        with_repeated : bool
            Whether to return all parts with which servers ended repeatedly,
            whoever observed it.
        """
        observed = list_observed_parts(self._table, with_repeated=with_repeated)
        return tuple(
            _build_report(fingerprint, history, now)
            for fingerprint, history in observed
        )

    def restore(self, reports: Sequence[PartReport]) -> None:
        """Apply the reports of an earlier process of this member."""
        self.merge(reports)
        for report in reports:
            if report.fingerprint in self._table.histories:
                self._table.record_change(report.fingerprint, is_own=True)

    def merge(self, reports: Iterable[PartReport]) -> None:
        """Apply the reports of a peer."""
        now = self._table.clock.read_monotonic()
        for report in reports:
            if not report.crashes:
                continue
            history = self._table.open(report.fingerprint, report.regions)
            if _apply(report, history, now):
                self._table.record_change(report.fingerprint, is_own=False)


def _build_report(
    fingerprint: str,
    history: PartHistory,
    now: timedelta,
) -> PartReport:
    return PartReport(
        fingerprint,
        history.regions,
        tuple(compute_age(crash, now) for crash in history.crashes),
        tuple(
            AnswerAge(answer.run, (now - answer.instant) // MILLISECOND)
            for answer in history.answers
        ),
    )


def _apply(report: PartReport, history: PartHistory, now: timedelta) -> bool:
    """Apply a report; return whether it has evidence that was not known."""
    crashes = [date_crash(one, now) for one in report.crashes]
    answers = [
        DatedAnswer(one.run, now - one.age_ms * MILLISECOND)
        for one in report.answers
    ]
    news = [history.add_crashes(crashes)]
    news.extend(history.add_answer(answer) for answer in answers)
    return any(news)
