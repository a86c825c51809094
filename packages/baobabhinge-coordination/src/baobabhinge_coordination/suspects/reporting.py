"""Exchange of reports about requests between peers."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from itertools import islice

from baobabhinge_coordination.suspects.crash_ages import (
    MILLISECOND,
    compute_age,
    compute_age_ms,
    date_crash,
)
from baobabhinge_coordination.suspects.histories import RequestHistory
from baobabhinge_coordination.suspects.history_table import HistoryTable
from baobabhinge_coordination.suspects.observations import (
    list_observed_requests,
)
from baobabhinge_coordination.suspects.pauses import is_repeated
from baobabhinge_coordination.suspects.reports import SuspectReport

# A report has some 60 bytes, so all of them fit into two packets.
MAX_REPORTS = 32


class SuspectReporter:
    """Send histories to peers, and apply theirs.

    Reports hold ages, as the clocks of peers differ.

    Parameters
    ----------
    histories : HistoryTable
        Histories of the requests.
    """

    __slots__ = ('_histories',)

    def __init__(self, histories: HistoryTable) -> None:
        """Store the table."""
        self._histories = histories

    def export(self, region: str) -> Sequence[SuspectReport]:
        """Return the reports for peers of ``region``, `MAX_REPORTS` at most."""
        now = self._histories.clock.read_monotonic()
        reports = (
            _build_report(fingerprint, history, now)
            for fingerprint, history in self._histories.iterate_reported()
        )
        allowed = (report for report in reports if report.may_reach(region))
        return tuple(islice(allowed, MAX_REPORTS))

    def export_observed(
        self, now: timedelta, *, with_repeated: bool
    ) -> Sequence[SuspectReport]:
        """Return what this member has observed, with ages as of ``now``.

        Parameters
        ----------
        now : timedelta
            Instant on the clock of the histories.
        with_repeated : bool
            Whether to return all requests under which servers ended
            repeatedly, whoever observed it.
        """
        observed = list_observed_requests(
            self._histories, with_repeated=with_repeated
        )
        return tuple(
            _build_report(fingerprint, history, now)
            for fingerprint, history in observed
        )

    def restore(self, reports: Sequence[SuspectReport]) -> None:
        """Apply the reports of an earlier process of this member."""
        self.merge(reports)
        self._histories.observed.update(
            report.fingerprint
            for report in reports
            if self._histories.find(report.fingerprint)
        )

    def merge(self, reports: Iterable[SuspectReport]) -> None:
        """Apply the reports of a peer."""
        now = self._histories.clock.read_monotonic()
        for report in reports:
            history = self._histories.open(report.fingerprint, report.regions)
            is_outdated = _apply(report, history, now)
            # A peer that does not know of an answer is told of it.
            if is_outdated or is_repeated(history):
                self._histories.report(report.fingerprint)


def _build_report(
    fingerprint: str,
    history: RequestHistory,
    now: timedelta,
) -> SuspectReport:
    return SuspectReport(
        fingerprint,
        history.regions,
        tuple(compute_age(crash, now) for crash in history.crashes),
        compute_age_ms(history.run, now),
        compute_age_ms(history.answer, now),
    )


def _apply(
    report: SuspectReport,
    history: RequestHistory,
    now: timedelta,
) -> bool:
    """Apply a report; return whether it has crashes older than an answer."""
    if report.answer_age_ms is not None:
        history.record_answer(now - report.answer_age_ms * MILLISECOND)
    if report.run_age_ms is not None:
        history.record_run(now - report.run_age_ms * MILLISECOND)
    crashes = [date_crash(age, now) for age in report.crashes]
    is_outdated = any(
        history.is_answered_since(crash.instant) for crash in crashes
    )
    history.add_crashes(crashes)
    return is_outdated
