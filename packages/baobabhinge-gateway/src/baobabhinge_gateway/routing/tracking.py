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
from baobabhinge_gateway.routing.circuit_breakers import CircuitBreakers
from baobabhinge_gateway.routing.decisions import Candidate
from baobabhinge_gateway.routing.in_flight import InFlightCounter
from baobabhinge_gateway.routing.links import LinkBudget, LinkRates
from baobabhinge_gateway.routing.observations import Observations
from baobabhinge_gateway.routing.protocols import OpenCallCounter
from baobabhinge_gateway.routing.timing import ExchangeTimer


class TargetTracker:
    """Keep counts, circuits, link budgets and observations up to date.

    Attributes
    ----------
    in_flight : InFlightCounter
        Calls open by vm.
    circuit_breakers : CircuitBreakers
        Places that rest after failures.
    links : LinkBudget
        Bytes that may leave the region.
    observations : Observations
        Finished exchanges.
    open_calls : OpenCallCounter
        Calls open by workspace.
    """

    __slots__ = (
        '_clock',
        'circuit_breakers',
        'in_flight',
        'links',
        'observations',
        'open_calls',
    )

    def __init__(
        self,
        clock: Clock,
        rates: LinkRates,
        open_calls: OpenCallCounter,
    ) -> None:
        """Start without exchanges."""
        self._clock = clock
        self.in_flight = InFlightCounter(clock)
        self.circuit_breakers = CircuitBreakers(clock)
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
            target.destination,
            candidate.wait,
        )
        with (
            self.in_flight.track(target.vm.name),
            self._note_end(target.destination),
        ):
            yield timer

    @contextmanager
    def _note_end(self, destination: str) -> Iterator[None]:
        """Tell the circuit of ``destination`` how the exchange ends."""
        try:
            yield
        except (NotReachedError, OutcomeUnknownError, RelayedProblemError):
            self.circuit_breakers.record_failure(destination)
            raise
        self.circuit_breakers.record_success(destination)
