"""Load of backend servers, estimated from their lagged reports."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import msgspec

from baobabhinge_platform.machines import Vm

DEFAULT_SLOTS = 8


class LoadView(Protocol):
    """Load report of one backend server."""

    @property
    def running(self) -> int:
        """Return how many requests were running."""

    @property
    def waiting(self) -> int:
        """Return how many requests were waiting for a slot."""

    @property
    def slots(self) -> int:
        """Return how many requests the server runs at once."""

    @property
    def age(self) -> timedelta:
        """Return the time since the reported load was measured."""


class LoadSource(Protocol):
    """Provider of load reports."""

    def list_gateways(self, region: str) -> Sequence[Vm]:
        """Return the available gateways of ``region``."""

    def find_report(self, vm: Vm) -> LoadView | None:
        """Return the latest report of ``vm``, if there is one."""


class Occupancy(msgspec.Struct, frozen=True):
    """Requests and slots of one backend server.

    Parameters
    ----------
    requests : int
        Requests running or waiting at the server.
    slots : int
        Requests that the server runs at once.
    """

    requests: int
    slots: int

    @property
    def queue(self) -> int:
        """Return how many requests must end before a new one starts."""
        return max(0, self.requests + 1 - self.slots)


def estimate_occupancy(
    report: LoadView | None,
    in_flight: int,
    growth: float,
) -> Occupancy:
    """Correct a load report by the calls that were sent after it.

    Parameters
    ----------
    report : LoadView, optional
        Latest report of the server.
    in_flight : int
        Calls that this gateway has in flight at the server.
    growth : float
        Expected growth of the calls of all gateways since the report.
    """
    if report is None:
        return Occupancy(in_flight, DEFAULT_SLOTS)
    reported = report.running + report.waiting
    corrected = round(reported + growth)
    return Occupancy(max(in_flight, corrected), max(1, report.slots))
