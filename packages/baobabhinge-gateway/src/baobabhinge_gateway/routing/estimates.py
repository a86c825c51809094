"""Expected time to the first piece of an answer."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.routing.counters import InFlight
from baobabhinge_gateway.routing.loads import (
    LoadSource,
    Occupancy,
    estimate_occupancy,
)
from baobabhinge_gateway.routing.observations import Observations
from baobabhinge_gateway.routing.targets import Target
from baobabhinge_platform.machines import Vm

NOTHING = timedelta()


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
    in_flight : InFlight
        Own calls by vm.
    loads : LoadSource
        Lagged reports.
    observations : Observations
        Past exchanges.
    """

    __slots__ = ('_in_flight', '_loads', '_observations')

    def __init__(
        self,
        in_flight: InFlight,
        loads: LoadSource,
        observations: Observations,
    ) -> None:
        """Keep the parts."""
        self._in_flight = in_flight
        self._loads = loads
        self._observations = observations

    def estimate(self, target: Target) -> Estimate:
        """Return what to expect of ``target``.

        A remote target's queueing is part of what past exchanges took.
        """
        base = self._observations.read_first(target.place)
        if target.is_remote:
            return Estimate(NOTHING, base, target.in_flight)
        occupancy = self._estimate_occupancy(target.vm)
        hold = self._observations.read_hold(target.place)
        wait = hold * (occupancy.queue / occupancy.slots)
        return Estimate(wait, wait + base, occupancy.requests)

    def _estimate_occupancy(self, vm: Vm) -> Occupancy:
        report = self._loads.find_report(vm)
        now = self._in_flight.count(vm.name)
        if report is None:
            return estimate_occupancy(report, now, now)
        then = self._in_flight.count_before(vm.name, report.age)
        return estimate_occupancy(report, now, then)
