"""State that the exchanges with targets update."""

from collections.abc import Iterator
from contextlib import contextmanager

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.backends import ExchangeRequest
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
from baobabhinge_gateway.routing.protocols import WorkspaceCallCounter
from baobabhinge_gateway.routing.timing import ExchangeTimer


class TargetTracker:
    """Update counts, circuit breakers, budgets and observed times.

    Attributes
    ----------
    in_flight : InFlightCounter
        Calls in flight by vm.
    circuit_breakers : CircuitBreakers
        Circuit breakers by destination.
    links : LinkBudget
        Bytes that may be sent to remote regions.
    observations : Observations
        Times of finished exchanges.
    workspace_calls : WorkspaceCallCounter
        Calls in flight by workspace.
    """

    __slots__ = (
        '_clock',
        'circuit_breakers',
        'in_flight',
        'links',
        'observations',
        'workspace_calls',
    )

    def __init__(
        self,
        clock: Clock,
        rates: LinkRates,
        workspace_calls: WorkspaceCallCounter,
    ) -> None:
        """Start without exchanges, all circuit breakers closed."""
        self._clock = clock
        self.in_flight = InFlightCounter(clock)
        self.circuit_breakers = CircuitBreakers(clock)
        self.links = LinkBudget(clock, rates)
        self.observations = Observations(clock)
        self.workspace_calls = workspace_calls

    @contextmanager
    def track(
        self,
        candidate: Candidate,
        outbound: ExchangeRequest,
    ) -> Iterator[ExchangeTimer]:
        """Yield a timer for the exchange with ``candidate``."""
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
            self._record_outcome(target.destination),
        ):
            yield timer

    @contextmanager
    def _record_outcome(self, destination: str) -> Iterator[None]:
        """Report the outcome of the exchange to the circuit breaker."""
        try:
            yield
        except (NotReachedError, OutcomeUnknownError, RelayedProblemError):
            self.circuit_breakers.record_failure(destination)
            raise
        self.circuit_breakers.record_success(destination)
