"""What a gateway knows when it places a call."""

from collections.abc import Mapping, Sequence

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import (
    ActiveConfiguration,
    BackendServer,
    Engine,
    ServerCatalogue,
    Service,
)
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.loads import LoadTable
from baobabhinge_gateway.forwarding.prefixes import (
    CachedPrefix,
    PrefixAnnouncements,
    PrefixHistory,
)
from baobabhinge_gateway.forwarding.reliability import ServerReliability
from baobabhinge_gateway.forwarding.remote_regions import RemoteRegions
from baobabhinge_gateway.forwarding.warmup import WarmUpLimiter


class DeploymentState(msgspec.Struct):
    """Configuration, servers, loads, prefixes, failures and warm-up.

    Parameters
    ----------
    local_region : str
        Region of this gateway; it reaches no server of another.
    regions : mapping of str to str
        Region of each failure domain.
    """

    local_region: str
    clock: Clock
    configuration: ActiveConfiguration
    catalogue: ServerCatalogue
    loads: LoadTable
    prefixes: PrefixHistory
    announcements: PrefixAnnouncements
    reliability: ServerReliability
    remote_regions: RemoteRegions
    warmup: WarmUpLimiter
    regions: Mapping[str, str]

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration and any server are known."""
        has_servers = bool(self.catalogue.list_all())
        return self.configuration.revision is not None and has_servers

    def is_local(self, server: BackendServer) -> bool:
        """Whether this gateway reaches ``server`` itself."""
        return self.regions.get(server.failure_domain) == self.local_region

    def is_cold(self, server: BackendServer) -> bool:
        """Whether ``server`` bears few calls now."""
        has_rate = self.find_warm_up_rate(server.service) > 0
        return has_rate and self.warmup.is_cold(server.name)

    def find_warm_up_rate(self, service: str) -> float:
        """Return the calls a second that a cold server bears; 0 for any."""
        found = self.find_service(service)
        return found.warm_up_rate if found else 0

    def find_service(self, name: str) -> Service | None:
        """Return the service called ``name`` in the configuration in force."""
        revision = self.configuration.revision
        return revision.services.get(name) if revision else None

    def find_engine(self, name: str) -> Engine | None:
        """Return the size of the engines of a service, if it has any."""
        service = self.find_service(name)
        return service.engine if service else None

    def record_reading(self, call: Call, server: BackendServer) -> None:
        """Note that ``server`` reads the prompt of ``call``."""
        demand = call.head.demand
        if demand is None:
            return
        names = tuple(part.name for part in demand.shared)
        reading = CachedPrefix(server.name, names)
        self.prefixes.record(reading)
        self.announcements.add(reading, call.route, demand.shared_tokens)


def create_deployment_state(
    clock: Clock,
    local_region: str,
    regions: Mapping[str, str],
) -> DeploymentState:
    """Return the knowledge of a gateway that starts now."""
    return DeploymentState(
        local_region=local_region,
        clock=clock,
        configuration=ActiveConfiguration(),
        catalogue=ServerCatalogue(clock),
        loads=LoadTable(clock),
        prefixes=PrefixHistory(clock),
        announcements=PrefixAnnouncements(
            local_region, sorted(set(regions.values()))
        ),
        reliability=ServerReliability(clock),
        remote_regions=RemoteRegions(clock),
        warmup=WarmUpLimiter(clock),
        regions=regions,
    )


def list_available(
    state: DeploymentState, service: str
) -> Sequence[BackendServer]:
    """Return the servers of a service to which calls may be sent."""
    shut = state.reliability.suspected | state.remote_regions.list_unavailable()
    return [
        server
        for server in state.catalogue.list_usable(service)
        if server.failure_domain not in state.configuration.evacuated
        and server.name not in shut
    ]


def list_unavailable(state: DeploymentState) -> Sequence[str]:
    """Return the servers of the own region that take few calls or none."""
    return [
        server.name
        for server in state.catalogue.list_all()
        if state.is_local(server)
        and (
            server.name in state.reliability.suspected or state.is_cold(server)
        )
    ]
