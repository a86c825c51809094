"""Expected time to the first piece of an answer."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from statistics import fmean

import msgspec

from baobabhinge_gateway.routing.in_flight import InFlightCounter
from baobabhinge_gateway.routing.loads import (
    LoadSource,
    estimate_occupancy,
)
from baobabhinge_gateway.routing.observations import Observations
from baobabhinge_gateway.routing.targets import RoutingTarget

ZERO_DURATION = timedelta()


class Estimate(msgspec.Struct, frozen=True):
    """Expected times of one target.

    Parameters
    ----------
    wait : timedelta
        Queueing.
    first : timedelta
        Time to the first piece of the answer, ``wait`` included.
    requests : int
        Requests there now.
    """

    wait: timedelta
    first: timedelta
    requests: int


class Estimator:
    """Estimate from own counts, lagged reports and past exchanges.

    Parameters
    ----------
    in_flight : InFlightCounter
        Own calls by vm.
    loads : LoadSource
        Lagged reports.
    observations : Observations
        Past exchanges.
    """

    __slots__ = ('_in_flight', '_loads', '_observations')

    def __init__(
        self,
        in_flight: InFlightCounter,
        loads: LoadSource,
        observations: Observations,
    ) -> None:
        """Keep the parts."""
        self._in_flight = in_flight
        self._loads = loads
        self._observations = observations

    def estimate(self, targets: Sequence[RoutingTarget]) -> list[Estimate]:
        """Return what to expect of each of ``targets``.

        A remote target's queueing is part of what past exchanges took.

        Notes
        -----
        A report does not say what was sent after it. This gateway knows its
        own part. The others are taken to have grown like the mean of this
        one, since callers are spread over the gateways of a region.
        """
        grown = {
            target.destination: self._measure_growth(target)
            for target in targets
            if not target.is_remote
        }
        others = self._estimate_others(targets, grown.values())
        return [
            self._estimate(target, grown.get(target.destination, 0) + others)
            for target in targets
        ]

    def _estimate(self, target: RoutingTarget, grown: float) -> Estimate:
        base = self._observations.read_first_chunk_time(target.destination)
        if target.is_remote:
            return Estimate(ZERO_DURATION, base, target.in_flight)
        occupancy = estimate_occupancy(
            self._loads.find_report(target.vm),
            self._in_flight.count(target.vm.name),
            grown,
        )
        hold = self._observations.read_slot_time(target.destination)
        wait = hold * (occupancy.queue / occupancy.slots)
        return Estimate(wait, wait + base, occupancy.requests)

    def _measure_growth(self, target: RoutingTarget) -> int:
        report = self._loads.find_report(target.vm)
        if report is None:
            return 0
        name = target.vm.name
        then = self._in_flight.count_before(name, report.age)
        return self._in_flight.count(name) - then

    def _estimate_others(
        self,
        targets: Sequence[RoutingTarget],
        grown: Collection[int],
    ) -> float:
        if not grown:
            return 0
        region = next(
            target.vm.region for target in targets if not target.is_remote
        )
        others = len(self._loads.list_gateways(region)) - 1
        return fmean(grown) * max(0, others)
