"""Sums of work that the gateways of a region report to each other."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.shares.entries import (
    LOWEST,
    TOTAL,
    Kind,
    is_of_kind,
    name_level,
)
from baobabhinge_gateway.shares.sums import WorkSums

# The time after which a gateway without heartbeats counts as failed.
RETENTION = timedelta(seconds=3)
# About half of a packet; the rest of a heartbeat takes the other one.
MAX_BYTES = 700
# Of one service: priorities, and workspaces and routes together.
MAX_ENTRIES = 24
LAST_LEVEL = name_level(LOWEST, LOWEST)

# By the number of the entry of the service.
Report = Mapping[int, WorkSums]
REPORT_DECODER = msgspec.msgpack.Decoder(Report)


class _DatedReport(msgspec.Struct, frozen=True):
    received: timedelta
    report: Report


class ReportedSums:
    """Sums that other gateways of the region have reported lately.

    Parameters
    ----------
    clock : Clock
        Clock of the reports.
    """

    __slots__ = ('_clock', '_reports')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, _DatedReport] = {}

    def record(self, gateway: str, report: Report) -> None:
        """Record the newest report of another gateway."""
        now = self._clock.read_monotonic()
        self._reports[gateway] = _DatedReport(now, report)

    def list_sums(self, service: int) -> Sequence[WorkSums]:
        """Return the sums of each other gateway for one service."""
        oldest = self._clock.read_monotonic() - RETENTION
        self._reports = {
            gateway: dated
            for gateway, dated in self._reports.items()
            if dated.received >= oldest
        }
        reports = [dated.report for dated in self._reports.values()]
        return [report[service] for report in reports if service in report]


def encode_report(services: Mapping[int, WorkSums]) -> bytes | None:
    """Return the sums of this gateway for others; ``None`` without work.

    Services with much work go first; what does not fit is left out.
    """
    report: dict[int, WorkSums] = {}
    encoded = None
    for service in _rank_services(services):
        report[service] = select_entries(services[service])
        longer = msgspec.msgpack.encode(report)
        if len(longer) > MAX_BYTES and encoded is not None:
            break
        encoded = longer
    return encoded


def decode_report(payload: bytes) -> Report:
    """Return the sums of another gateway."""
    return REPORT_DECODER.decode(payload)


def select_entries(sums: WorkSums) -> WorkSums:
    """Return the total, and the entries with most work."""
    ranked = _rank(sums)
    levels = [entry for entry in ranked if is_of_kind(entry, Kind.level)]
    others = [entry for entry in ranked if entry > LAST_LEVEL]
    kept = [TOTAL]
    kept.extend(levels[:MAX_ENTRIES])
    kept.extend(others[:MAX_ENTRIES])
    return {entry: sums[entry] for entry in kept}


def _rank_services(services: Mapping[int, WorkSums]) -> Sequence[int]:
    with_work = {
        service: services[service]
        for service in services
        if TOTAL in services[service]
    }
    return _rank({one: sums[TOTAL] for one, sums in with_work.items()})


def _rank(sums: WorkSums) -> Sequence[int]:
    """Return the keys, those with most requested work first."""
    return sorted(sums, key=lambda entry: -sums[entry].requested)
