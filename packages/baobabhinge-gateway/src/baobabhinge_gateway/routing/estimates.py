"""Expected time to the first chunk of an answer."""

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
    """Expected times at one target.

    Parameters
    ----------
    wait : timedelta
        Queueing delay.
    first : timedelta
        Time to the first chunk of the answer, including ``wait``.
    requests : int
        Requests running or waiting at the target.
    """

    wait: timedelta
    first: timedelta
    requests: int


class Estimator:
    """Estimate times from own counts, load reports and past exchanges.

    Parameters
    ----------
    in_flight : InFlightCounter
        Calls that this gateway has in flight by vm.
    loads : LoadSource
        Load reports, which lag behind.
    observations : Observations
        Times of past exchanges.
    """

    __slots__ = ('_in_flight', '_loads', '_observations')

    def __init__(
        self,
        in_flight: InFlightCounter,
        loads: LoadSource,
        observations: Observations,
    ) -> None:
        """Store the collaborators."""
        self._in_flight = in_flight
        self._loads = loads
        self._observations = observations

    def estimate(self, targets: Sequence[RoutingTarget]) -> list[Estimate]:
        """Return one estimate for each of ``targets``.

        The queueing delay of a remote target is zero: the times of its past
        exchanges include it.

        Notes
        -----
        A load report does not contain the calls that were sent after it. For
        its own calls, this gateway knows the growth at each target. For each
        other gateway of the region it assumes the mean of its own growth,
        since callers are spread over these gateways.
        """
        growth = {
            target.destination: self._measure_growth(target)
            for target in targets
            if not target.is_remote
        }
        others = self._estimate_growth_of_others(targets, growth.values())
        return [
            self._estimate(target, growth.get(target.destination, 0) + others)
            for target in targets
        ]

    def _estimate(self, target: RoutingTarget, growth: float) -> Estimate:
        unqueued = self._observations.read_first_chunk_time(target.destination)
        if target.is_remote:
            return Estimate(ZERO_DURATION, unqueued, target.in_flight)
        occupancy = estimate_occupancy(
            self._loads.find_report(target.vm),
            self._in_flight.count(target.vm.name),
            growth,
        )
        slot_time = self._observations.read_slot_time(target.destination)
        wait = slot_time * (occupancy.queue / occupancy.slots)
        return Estimate(wait, wait + unqueued, occupancy.requests)

    def _measure_growth(self, target: RoutingTarget) -> int:
        report = self._loads.find_report(target.vm)
        if report is None:
            return 0
        name = target.vm.name
        at_report = self._in_flight.count_before(name, report.age)
        return self._in_flight.count(name) - at_report

    def _estimate_growth_of_others(
        self,
        targets: Sequence[RoutingTarget],
        growth: Collection[int],
    ) -> float:
        if not growth:
            return 0
        region = next(
            target.vm.region for target in targets if not target.is_remote
        )
        others = len(self._loads.list_gateways(region)) - 1
        return fmean(growth) * max(0, others)
