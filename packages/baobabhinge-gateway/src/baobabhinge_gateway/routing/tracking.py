"""Bookkeeping of the exchanges with targets."""

from collections.abc import Iterator
from contextlib import contextmanager

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.backends import Outbound
from baobabhinge_gateway.errors import (
    NotReachedError,
    OutcomeUnknownError,
    RelayedProblemError,
)
from baobabhinge_gateway.routing.circuits import Circuits
from baobabhinge_gateway.routing.counters import InFlight
from baobabhinge_gateway.routing.decisions import Candidate
from baobabhinge_gateway.routing.gates import OpenCalls
from baobabhinge_gateway.routing.links import LinkBudget, LinkRates
from baobabhinge_gateway.routing.observations import Observations
from baobabhinge_gateway.routing.timing import ExchangeTimer


class TargetTracker:
    """Keep counts, circuits, link budgets and observations up to date.

    Attributes
    ----------
    in_flight : InFlight
        Calls open by vm.
    circuits : Circuits
        Places that rest after failures.
    links : LinkBudget
        Bytes that may leave the region.
    observations : Observations
        Finished exchanges.
    open_calls : OpenCalls
        Calls open by workspace.
    """

    __slots__ = (
        '_clock',
        'circuits',
        'in_flight',
        'links',
        'observations',
        'open_calls',
    )

    def __init__(
        self,
        clock: Clock,
        rates: LinkRates,
        open_calls: OpenCalls,
    ) -> None:
        """Start without exchanges."""
        self._clock = clock
        self.in_flight = InFlight(clock)
        self.circuits = Circuits(clock)
        self.links = LinkBudget(clock, rates)
        self.observations = Observations(clock)
        self.open_calls = open_calls

    @contextmanager
    def track(
        self,
        candidate: Candidate,
        outbound: Outbound,
    ) -> Iterator[ExchangeTimer]:
        """Yield a timer while the exchange with ``candidate`` is open."""
        target = candidate.target
        if target.is_remote:
            self.links.spend(target.vm.region, len(outbound.body))
        timer = ExchangeTimer(
            self._clock,
            self.observations,
            target.place,
            candidate.wait,
        )
        with self.in_flight.track(target.vm.name), self._note_end(target.place):
            yield timer

    @contextmanager
    def _note_end(self, place: str) -> Iterator[None]:
        """Tell the circuit of ``place`` how the exchange ends."""
        try:
            yield
        except (NotReachedError, OutcomeUnknownError, RelayedProblemError):
            self.circuits.record_failure(place)
            raise
        self.circuits.record_success(place)
