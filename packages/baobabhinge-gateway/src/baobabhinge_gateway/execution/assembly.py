"""Assembly of the router and the dispatcher of one gateway."""

from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.admission import LoadShedder
from baobabhinge_gateway.execution.counters import CallCounters
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.routing import (
    CandidateDispatcher,
    ConfiguredPolicy,
    PolicyContext,
    Router,
    RoutingRules,
    TargetTracker,
)
from baobabhinge_gateway.routing.discovery import TargetFinder
from baobabhinge_gateway.routing.estimates import Estimator
from baobabhinge_gateway.routing.limits import CandidateLimits


class RoutingComponents:
    """Router and dispatcher of one gateway.

    Attributes
    ----------
    router : Router
        Ranks the targets of a call.
    dispatcher : CandidateDispatcher
        Sends calls to targets.
    """

    __slots__ = ('dispatcher', 'router')

    def __init__(self, router: Router, dispatcher: CandidateDispatcher) -> None:
        """Store the router and the dispatcher."""
        self.router = router
        self.dispatcher = dispatcher


class RoutingBuilder:
    """Builder of the router and the dispatcher of one gateway.

    Parameters
    ----------
    clock : Clock
        Clock that decisions read.
    random : Random
        Generator that breaks ties.
    fleet : FleetView
        Known vms and their load.
    rules : RoutingRules
        Routing rules of the configuration in force.
    counters : CallCounters
        Counters of this gateway.
    """

    __slots__ = ('_clock', '_counters', '_fleet', '_random', '_rules')

    def __init__(
        self,
        clock: Clock,
        random: Random,
        fleet: FleetView,
        rules: RoutingRules,
        counters: CallCounters,
    ) -> None:
        """Store the collaborators; nothing is built yet."""
        self._counters = counters
        self._clock = clock
        self._random = random
        self._fleet = fleet
        self._rules = rules

    def build(self, http: aiohttp.ClientSession) -> RoutingComponents:
        """Return a router and a dispatcher that sends through ``http``."""
        shares = self._counters.shares
        tracker = TargetTracker(self._clock, self._rules, shares)
        return RoutingComponents(
            Router(
                TargetFinder(self._fleet, tracker.in_flight),
                ConfiguredPolicy(
                    self._rules, self._build_policy_context(tracker)
                ),
                LoadShedder(self._clock, self._random, shares, self._rules),
                self._counters.decisions,
            ),
            CandidateDispatcher(http, self._clock, tracker),
        )

    def _build_policy_context(self, tracker: TargetTracker) -> PolicyContext:
        estimator = Estimator(
            tracker.in_flight,
            self._fleet,
            tracker.observations,
        )
        return PolicyContext(
            self._clock,
            self._random,
            estimator,
            CandidateLimits(tracker.circuit_breakers, tracker.links),
            self._rules,
        )
