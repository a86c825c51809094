"""Evidence on crashing requests that outlasts the processes.

Load pattern: all gateways end at the same moment, again and again, while a
request comes that ends each server which runs it.
"""

from collections.abc import Sequence
from datetime import UTC, datetime, timedelta

import msgspec

from baobabhinge_coordination.bounds import EpochMilliseconds
from baobabhinge_coordination.suspects import (
    CrashAge,
    PartReport,
    SuspectReport,
)
from baobabhinge_coordination.suspects.pauses import NO_TIME
from baobabhinge_gateway.forwarding.core import GatewayCore, is_keeper
from baobabhinge_gateway.forwarding.fitting import select_fitting

MILLISECOND = timedelta(milliseconds=1)
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# Of requests, and as many of parts. Some hundred of them, as a report has about
# 100 bytes.
MAX_RECORD_BYTES = 16_384


class CrashRecord(msgspec.Struct, frozen=True):
    """Evidence that one gateway stores.

    Parameters
    ----------
    written_ms : int
        When the ages were computed, in milliseconds since 1970.
    requests : tuple of SuspectReport
        Requests under which servers ended.
    parts : tuple of PartReport
        Parts of prompts that were present when servers ended.
    """

    written_ms: EpochMilliseconds
    requests: tuple[SuspectReport, ...] = ()
    parts: tuple[PartReport, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence."""
        return not self.requests and not self.parts

    def list_reports(self) -> Sequence[SuspectReport | PartReport]:
        """Return the reports on requests and those on parts."""
        return (*self.requests, *self.parts)


class CrashArchive:
    """Composer and reader of the records of crashes.

    Each gateway stores what it has observed itself. The keeper of a region
    stores all requests and parts that crashed servers repeatedly, as gateways
    that observed it may be gone for good.

    Parameters
    ----------
    core : GatewayCore
        Its evidence is stored.
    """

    __slots__ = ('_clock', '_core', '_crashes')

    def __init__(self, core: GatewayCore) -> None:
        """Store the core."""
        self._core = core
        self._crashes = core.state.crashes
        self._clock = core.state.clock

    def compose(self) -> CrashRecord:
        """Return the record to store now."""
        return self._compose(self._clock.read_monotonic(), self._read_ms())

    def read_state(self) -> CrashRecord:
        """Return the record with ages as of a fixed instant.

        Two of them are equal if there is no other evidence in between.
        """
        return self._compose(NO_TIME, 0)

    def restore(self, record: CrashRecord, *, is_own: bool) -> None:
        """Apply a record that was read from the store.

        Parameters
        ----------
        record : CrashRecord
            The record.
        is_own : bool
            Whether an earlier process of this gateway has written it, so that
            this one goes on to store its evidence.
        """
        elapsed_ms = max(0, self._read_ms() - record.written_ms)
        requests = [
            msgspec.structs.replace(
                report,
                crashes=_add_age(report.crashes, elapsed_ms),
                run_age_ms=_add_ms(report.run_age_ms, elapsed_ms),
                answer_age_ms=_add_ms(report.answer_age_ms, elapsed_ms),
            )
            for report in record.requests
        ]
        parts = [
            msgspec.structs.replace(
                report,
                crashes=_add_age(report.crashes, elapsed_ms),
                answers=tuple(
                    msgspec.structs.replace(
                        answer, age_ms=answer.age_ms + elapsed_ms
                    )
                    for answer in report.answers
                ),
            )
            for report in record.parts
        ]
        reporters = (self._crashes.reporter, self._crashes.parts.reporter)
        if is_own:
            reporters[0].restore(requests)
            reporters[1].restore(parts)
        else:
            reporters[0].merge(requests)
            reporters[1].merge(parts)

    def _read_ms(self) -> int:
        return (self._clock.read_instant() - EPOCH) // MILLISECOND

    def _compose(self, now: timedelta, written_ms: int) -> CrashRecord:
        with_repeated = is_keeper(self._core)
        requests = self._crashes.reporter.export_observed(
            now, with_repeated=with_repeated
        )
        parts = self._crashes.parts.reporter.export_observed(
            now, with_repeated=with_repeated
        )
        return CrashRecord(
            written_ms,
            tuple(select_fitting(requests, MAX_RECORD_BYTES)),
            tuple(select_fitting(parts, MAX_RECORD_BYTES)),
        )


def _add_age(
    crashes: Sequence[CrashAge], elapsed_ms: int
) -> tuple[CrashAge, ...]:
    """Return crashes that are older, and were read from the store now."""
    return tuple(
        CrashAge(crash.server, crash.age_ms + elapsed_ms, read_age_ms=0)
        for crash in crashes
    )


def _add_ms(age_ms: int | None, elapsed_ms: int) -> int | None:
    return None if age_ms is None else age_ms + elapsed_ms
