"""State of the deployment on which a gateway bases its placement of calls."""

from collections.abc import Mapping, Sequence

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import (
    BackendServer,
    DeploymentConfiguration,
    Engine,
    ServerCatalogue,
    Service,
)
from baobabhinge_gateway.forwarding.crash_tracking import CrashTracker
from baobabhinge_gateway.forwarding.loads import LoadTable
from baobabhinge_gateway.forwarding.prefixes import (
    PrefixAnnouncements,
    PrefixHistory,
)
from baobabhinge_gateway.forwarding.reliability import ServerReliability
from baobabhinge_gateway.forwarding.remote_regions import RemoteRegions
from baobabhinge_gateway.forwarding.server_statements import StatementTable
from baobabhinge_gateway.forwarding.warmup import WarmUpLimiter
from baobabhinge_gateway.pace.tracker import PaceTracker


class DeploymentState(msgspec.Struct):
    """Configuration, backend servers, and what is observed of the servers.

    Parameters
    ----------
    local_region : str
        Region of this gateway, which reaches only the servers of this region.
    clock : Clock
        Monotonic clock of the process.
    configuration : DeploymentConfiguration
        Configuration and evacuations in force.
    catalogue : ServerCatalogue
        Listed backend servers of all regions.
    loads : LoadTable
        Calls in flight by server.
    prefixes : PrefixHistory
        Prompt prefixes that the engines have cached.
    announcements : PrefixAnnouncements
        Prefixes to report in the next heartbeats.
    reliability : ServerReliability
        Failure rates, and suspected servers.
    remote_regions : RemoteRegions
        Reports of gateways of other regions.
    warmup : WarmUpLimiter
        Cold servers and the rate of calls to them.
    crashes : CrashTracker
        Requests under which servers ended.
    statements : StatementTable
        What servers say of themselves.
    regions : mapping of str to str
        Region of each failure domain.
    pace : PaceTracker
        Speeds of the servers, and the loads that they name.
    """

    local_region: str
    clock: Clock
    configuration: DeploymentConfiguration
    catalogue: ServerCatalogue
    loads: LoadTable
    prefixes: PrefixHistory
    announcements: PrefixAnnouncements
    reliability: ServerReliability
    remote_regions: RemoteRegions
    warmup: WarmUpLimiter
    crashes: CrashTracker
    statements: StatementTable
    regions: Mapping[str, str]
    pace: PaceTracker

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration and at least one server are known."""
        has_servers = bool(self.catalogue.list_all())
        return self.configuration.revision is not None and has_servers

    @property
    def is_partitioned(self) -> bool:
        """Whether this gateway reaches no server of the local region."""
        return self.reliability.reach.is_partitioned(
            server.name
            for server in self.catalogue.list_all()
            if self.is_local(server) and not server.is_leaving
        )

    def is_local(self, server: BackendServer) -> bool:
        """Return whether ``server`` is in the region of this gateway."""
        return self.regions.get(server.failure_domain) == self.local_region

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether ``server`` is cold and its service limits warm-up."""
        # Nearly all servers are warm, and that is the shorter question.
        is_cold = self.warmup.is_cold(server.name)
        return is_cold and self.find_warm_up_rate(server.service) > 0

    def find_warm_up_rate(self, service: str) -> float:
        """Return how many calls per second a cold server of a service takes.

        0 stands for no limit.
        """
        found = self.find_service(service)
        return found.warm_up_rate if found else 0

    def find_service(self, name: str) -> Service | None:
        """Return the service ``name`` of the configuration in force."""
        revision = self.configuration.revision
        return revision.services.get(name) if revision else None

    def find_engine(self, name: str) -> Engine | None:
        """Return the capacity of the engines of a service, if it has any."""
        service = self.find_service(name)
        return service.engine if service else None


def create_deployment_state(
    clock: Clock,
    local_region: str,
    regions: Mapping[str, str],
    statements: StatementTable | None = None,
) -> DeploymentState:
    """Return the state of a gateway that starts: no configuration or server.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the process.
    local_region : str
        Region of the gateway.
    regions : mapping of str to str
        Region of each failure domain.
    statements : StatementTable, optional
        Holds what servers will say of themselves.
    """
    configuration = DeploymentConfiguration()
    pace = PaceTracker(clock)
    statements = statements or StatementTable(clock)
    statements.on_load = pace.record_load
    return DeploymentState(
        local_region=local_region,
        clock=clock,
        configuration=configuration,
        catalogue=ServerCatalogue(clock),
        loads=LoadTable(clock),
        prefixes=PrefixHistory(clock),
        announcements=PrefixAnnouncements(
            local_region, sorted(set(regions.values()))
        ),
        reliability=ServerReliability(clock),
        remote_regions=RemoteRegions(clock),
        warmup=WarmUpLimiter(clock),
        crashes=CrashTracker(local_region, clock),
        statements=statements,
        regions=regions,
        pace=pace,
    )


def list_available(
    state: DeploymentState, service: str, *, has_suspected: bool = False
) -> Sequence[BackendServer]:
    """Return the servers of a service to which calls may be sent.

    Left out are servers that are leaving, evacuated, suspected, or reported as
    unavailable by a gateway of their own region.

    Parameters
    ----------
    state : DeploymentState
        Servers, and what is observed of them.
    service : str
        Name of the service.
    has_suspected : bool, optional
        Whether to return suspected servers too.
    """
    return [
        server
        for server in _list_sound(state, service, has_suspected=has_suspected)
        if not state.statements.departures.is_leaving(server)
    ]


def list_departing(
    state: DeploymentState, service: str
) -> Sequence[BackendServer]:
    """Return the leaving servers of a service that still serve.

    They get the calls that no other server can take.
    """
    return [
        server
        for server in _list_sound(state, service)
        if state.statements.departures.is_leaving(server)
        and state.statements.departures.may_serve_last(server)
    ]


def _list_sound(
    state: DeploymentState, service: str, *, has_suspected: bool = False
) -> Sequence[BackendServer]:
    excluded = state.remote_regions.list_unavailable()
    if not has_suspected:
        excluded |= state.reliability.suspected
    return [
        server
        for server in state.catalogue.list_usable(service)
        if server.failure_domain not in state.configuration.evacuated
        and server.name not in excluded
    ]


def list_unavailable(state: DeploymentState) -> Sequence[str]:
    """Return the servers of the local region that other regions are to avoid.

    These are the suspected servers, those that have told that they are leaving,
    those that want none for a while, and those that take few calls: cold ones,
    and ones that name a limit.
    """
    return [
        server.name
        for server in state.catalogue.list_all()
        if state.is_local(server)
        and (
            server.name in state.reliability.suspected
            or _takes_few_calls(state, server)
        )
    ]


def _takes_few_calls(state: DeploymentState, server: BackendServer) -> bool:
    return (
        state.is_cold(server)
        or state.statements.departures.is_leaving(server)
        or state.statements.pauses.is_paused(server)
        or state.statements.limits.find(server.name) is not None
    )
