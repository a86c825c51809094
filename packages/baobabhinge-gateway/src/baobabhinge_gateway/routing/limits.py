"""Limits that exclude candidates."""

import msgspec

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.circuit_breakers import CircuitBreakers
from baobabhinge_gateway.routing.decisions import Candidate
from baobabhinge_gateway.routing.links import LinkBudget

CIRCUIT = 'circuit'
LINK = 'link'


class CandidateLimits:
    """Check candidates against circuit breakers and link budgets.

    Parameters
    ----------
    circuit_breakers : CircuitBreakers
        Circuit breakers by destination.
    links : LinkBudget
        Bytes that may be sent to remote regions.
    """

    __slots__ = ('_circuit_breakers', '_links')

    def __init__(
        self, circuit_breakers: CircuitBreakers, links: LinkBudget
    ) -> None:
        """Store the collaborators."""
        self._circuit_breakers = circuit_breakers
        self._links = links

    def mark_blocked(self, call: Call, candidate: Candidate) -> Candidate:
        """Return ``candidate``, marked with the limit that excludes it."""
        limit = self._find_limit(call, candidate)
        if limit:
            return msgspec.structs.replace(candidate, blocked=limit)
        return candidate

    def _find_limit(self, call: Call, candidate: Candidate) -> str:
        target = candidate.target
        if not self._circuit_breakers.allows(
            target.destination, target.in_flight
        ):
            return CIRCUIT
        if not target.is_remote:
            return ''
        region = target.vm.region
        return '' if self._links.allows(region, len(call.body)) else LINK
