"""Allocations of the region, from the sums of all of its gateways."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.shares.allocation import Allocation, allocate
from baobabhinge_gateway.shares.entries import Kind, name_entry
from baobabhinge_gateway.shares.reports import ReportedSums
from baobabhinge_gateway.shares.sums import WorkSums, add_sums, has_pressure
from baobabhinge_gateway.shares.windows import WindowedSums

# Sums of a region change little meanwhile, and adding them up takes time.
DECISION_INTERVAL = timedelta(milliseconds=250)

log = structlog.get_logger(__name__)


class _Decision(msgspec.Struct):
    until: timedelta = timedelta()
    allocation: Allocation | None = None


class RegionalWork:
    """Work of the calls of the region, and how much of it is to be placed.

    Parameters
    ----------
    clock : Clock
        Clock of the calls.

    Attributes
    ----------
    reported : ReportedSums
        Work that other gateways of the region report.
    """

    __slots__ = ('_clock', '_decisions', '_own', 'reported')

    def __init__(self, clock: Clock) -> None:
        """Start without calls."""
        self._clock = clock
        self._own: dict[str, WindowedSums] = {}
        self._decisions: dict[str, _Decision] = {}
        self.reported = ReportedSums(clock)

    def open_window(self, service: str) -> WindowedSums:
        """Return the sums of one service at this gateway."""
        if service not in self._own:
            self._own[service] = WindowedSums(self._clock)
        return self._own[service]

    def read_own(self) -> Mapping[int, WorkSums]:
        """Return the sums of this gateway by the entries of services.

        Services without pressure at any gateway of the region are left out.
        """
        sums = {
            name_entry(Kind.service, service): own.read()
            for service, own in self._own.items()
        }
        return {
            service: own
            for service, own in sums.items()
            if has_pressure(own) or self._hears_of_pressure(service)
        }

    def find_allocation(self, service: str) -> Allocation | None:
        """Return the allocation for a service; ``None`` without pressure."""
        now = self._clock.read_monotonic()
        known = self._decisions.get(service, _Decision())
        if now < known.until:
            return known.allocation
        others = self.reported.list_sums(name_entry(Kind.service, service))
        own = self.open_window(service).read()
        decision = _Decision(
            now + DECISION_INTERVAL, allocate(add_sums((own, *others)))
        )
        _log_change(service, known.allocation, decision.allocation)
        self._decisions[service] = decision
        return decision.allocation

    def _hears_of_pressure(self, service: int) -> bool:
        return any(map(has_pressure, self.reported.list_sums(service)))


def _log_change(
    service: str, before: Allocation | None, now: Allocation | None
) -> None:
    if before is None and now is not None:
        log.info('overload-begun', service=service, excess=round(now.excess, 2))
    if before is not None and now is None:
        log.info('overload-ended', service=service)
