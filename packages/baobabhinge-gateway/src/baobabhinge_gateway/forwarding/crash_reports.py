"""Crash reports that fit into one packet."""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

from baobabhinge_gateway.forwarding.crash_tracking import CrashTracker
from baobabhinge_gateway.forwarding.fitting import select_fitting
from baobabhinge_gateway.neighbours.messages import CrashReports

# Of each kind. Both together fit into one packet of 1,400 bytes: a datagram of
# several packets is lost with any of them.
MAX_REPORT_BYTES = 650

_Report = TypeVar('_Report')


class CrashExchange:
    """Composer of crash reports, and receiver of those of other gateways.

    Parameters
    ----------
    crashes : CrashTracker
        Evidence of this gateway.
    random : Random
        Chooses where to begin, so that all reports take turns.
    """

    __slots__ = ('_crashes', '_random')

    def __init__(self, crashes: CrashTracker, random: Random) -> None:
        """Store the collaborators."""
        self._crashes = crashes
        self._random = random

    def compose(self, region: str, *, is_urgent: bool) -> CrashReports | None:
        """Return reports for gateways of a region, ``None`` without any.

        Parameters
        ----------
        region : str
            Region of the receiving gateways.
        is_urgent : bool
            Whether the latest changes come first; otherwise all take turns.
        """
        requests = self._crashes.reporter.export(region)
        parts = self._crashes.parts.reporter.export(region)
        if not requests and not parts:
            return None
        if not is_urgent:
            requests = _rotate(requests, self._random)
            parts = _rotate(parts, self._random)
        return CrashReports(_select(requests), _select(parts))

    def merge(self, reports: CrashReports) -> None:
        """Apply the reports of another gateway."""
        self._crashes.reporter.merge(reports.requests)
        self._crashes.parts.reporter.merge(reports.parts)


def _rotate(reports: Sequence[_Report], random: Random) -> Sequence[_Report]:
    start = random.randrange(len(reports)) if reports else 0
    return (*reports[start:], *reports[:start])


def _select(reports: Sequence[_Report]) -> Sequence[_Report]:
    # A report is sent even if it is longer than all of them should be.
    return select_fitting(reports, MAX_REPORT_BYTES) or reports[:1]
