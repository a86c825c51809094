"""Load of backend servers, as far as it is known."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import msgspec

from baobabhinge_platform.machines import Vm

DEFAULT_SLOTS = 8


class LoadView(Protocol):
    """A lagged report of one backend server."""

    @property
    def running(self) -> int:
        """Return the requests it was running."""

    @property
    def waiting(self) -> int:
        """Return the requests that waited for a slot."""

    @property
    def slots(self) -> int:
        """Return how many it runs at once."""

    @property
    def age(self) -> timedelta:
        """Return how long ago the report was true."""


class LoadSource(Protocol):
    """Where reports come from."""

    def list_gateways(self, region: str) -> Sequence[Vm]:
        """Return the gateways of a region that send calls."""

    def find_report(self, vm: Vm) -> LoadView | None:
        """Return the newest report of ``vm``, if there is one."""


class Occupancy(msgspec.Struct, frozen=True):
    """Requests at one backend server, and its slots.

    Parameters
    ----------
    requests : int
        Requests running or waiting there.
    slots : int
        Requests that it runs at once.
    """

    requests: int
    slots: int

    @property
    def queue(self) -> int:
        """Return how many requests end before a new one can start."""
        return max(0, self.requests + 1 - self.slots)


def estimate_occupancy(
    report: LoadView | None,
    in_flight: int,
    grown: float,
) -> Occupancy:
    """Correct a lagged report by what was sent since.

    Parameters
    ----------
    report : LoadView, optional
        The newest report.
    in_flight : int
        Calls of this gateway that are open there now.
    grown : float
        Expected growth of the calls of all gateways since the report.
    """
    if report is None:
        return Occupancy(in_flight, DEFAULT_SLOTS)
    reported = report.running + report.waiting
    corrected = round(reported + grown)
    return Occupancy(max(in_flight, corrected), max(1, report.slots))
