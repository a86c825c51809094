"""Putting together what routes calls."""

from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.admission import Shedder, WorkspaceShares
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.routing import (
    Dispatcher,
    PolicyParts,
    Router,
    TargetTracker,
    create_policy,
)
from baobabhinge_gateway.routing.estimates import Estimator
from baobabhinge_gateway.routing.loads import LoadSource

LINK_BYTES_PER_SECOND = 8 << 20


class RoutingParts:
    """Router and dispatcher of one gateway.

    Attributes
    ----------
    router : Router
        Finder of targets.
    dispatcher : Dispatcher
        Sender of calls.
    """

    __slots__ = ('dispatcher', 'router')

    def __init__(self, router: Router, dispatcher: Dispatcher) -> None:
        """Keep the parts."""
        self.router = router
        self.dispatcher = dispatcher


class RoutingBuilder:
    """Builder of the routing of one gateway.

    Parameters
    ----------
    clock : Clock
        Clock of the decisions.
    random : Random
        Generator that breaks ties.
    fleet : FleetView
        Known vms.
    loads : LoadSource
        Lagged reports.
    """

    __slots__ = ('_clock', '_fleet', '_loads', '_random')

    def __init__(
        self,
        clock: Clock,
        random: Random,
        fleet: FleetView,
        loads: LoadSource,
    ) -> None:
        """Keep the parts."""
        self._clock = clock
        self._random = random
        self._fleet = fleet
        self._loads = loads

    def build(
        self,
        region: str,
        policy: str,
        http: aiohttp.ClientSession,
    ) -> RoutingParts:
        """Return router and dispatcher of a gateway in ``region``."""
        shares = WorkspaceShares()
        tracker = TargetTracker(self._clock, LINK_BYTES_PER_SECOND, shares)
        chosen = create_policy(policy, self._build_parts(tracker))
        shedder = Shedder(self._clock, self._random, shares)
        return RoutingParts(
            Router(region, self._fleet, chosen, tracker.in_flight, shedder),
            Dispatcher(http, self._clock, tracker),
        )

    def _build_parts(self, tracker: TargetTracker) -> PolicyParts:
        estimator = Estimator(
            tracker.in_flight,
            self._loads,
            tracker.observations,
        )
        return PolicyParts(
            self._clock,
            self._random,
            estimator,
            tracker.circuits,
            tracker.links,
        )
