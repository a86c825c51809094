"""Gateways of the model: the real placement decisions, without a network."""

from collections.abc import Sequence
from random import Random

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import (
    BackendServer,
    Engine,
    RequestLimits,
    Revision,
    Route,
    Service,
)
from baobabhinge_gateway.forwarding.deployment_state import (
    create_deployment_state,
)
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.rankings import find_ranking
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.target_selection import TargetSelector
from baobabhinge_gateway.neighbours import GatewayContact, GatewayTable
from baobabhinge_standins.batching.calls import SERVICE
from baobabhinge_standins.batching.engine import SLOTS

REGION = 'west'
DOMAIN = 'west-a'
ENGINE = Engine(SLOTS, 458_749)


class ModelGateway:
    """One gateway.

    Parameters
    ----------
    name : str
        Name of the gateway.
    clock : ManualClock
        Clock of the model.
    random : Random
        Generator that breaks ties.

    Attributes
    ----------
    state : DeploymentState
        What the gateway knows of the engines.
    selector : TargetSelector
        Chooses the engine of each call.
    """

    def __init__(self, name: str, clock: ManualClock, random: Random) -> None:
        """Start without engines."""
        self.name = name
        self.state = create_deployment_state(clock, REGION, {DOMAIN: REGION})
        own = GatewayContact(name, REGION, '127.0.0.1', 1)
        gateways = GatewayTable(own, clock)
        self.selector = TargetSelector(
            Placement(self.state),
            RegionDirectory(name, REGION, [REGION], gateways),
            self.state,
            find_ranking('soonest'),
            random,
        )

    def adopt(self, routes: Sequence[Route], engines: Sequence[str]) -> None:
        """Take a configuration and a list of engines.

        Parameters
        ----------
        routes : sequence of Route
            Routes to the only service.
        engines : sequence of str
            Names of the engines.
        """
        service = Service(SERVICE, '/health', 800, engine=ENGINE)
        self.state.configuration.adopt(
            Revision(1, tuple(routes), {SERVICE: service}, RequestLimits())
        )
        for engine in engines:
            self.state.catalogue.put(
                BackendServer(engine, SERVICE, '127.0.0.1:1', DOMAIN, SLOTS)
            )
