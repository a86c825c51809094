"""State and decisions of one gateway process, without its listeners."""

from collections.abc import Sequence
from random import Random, SystemRandom

from baobabhinge_coordination.clock import BootClock, Clock
from baobabhinge_gateway.forwarding.check_sharing import (
    CheckSharing,
    merge_cold,
)
from baobabhinge_gateway.forwarding.deployment_state import (
    DeploymentState,
    create_deployment_state,
    list_unavailable,
)
from baobabhinge_gateway.forwarding.ingress_context import (
    build_ingress_context,
)
from baobabhinge_gateway.forwarding.retry_budget import SharedRetryBudget
from baobabhinge_gateway.forwarding.server_statements import StatementTable
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.forwarding.state_updater import StateUpdater
from baobabhinge_gateway.forwarding.watchers import list_watchers
from baobabhinge_gateway.neighbours import (
    GatewayTable,
    Heartbeat,
    SectionRegistry,
    SectionSender,
    is_region_lost,
    spare_busy,
)

RANDOM_BITS = 64


class GatewayCore:
    """State of one gateway process, and the decisions taken on it.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings of the process.
    clock : Clock, optional
        Clock of all decisions; that of the operating system if it is left out.

    Attributes
    ----------
    budget : SharedRetryBudget
        Bound on retries.
    updater : StateUpdater
        Applies changes from the store and from other gateways.
    gateways : GatewayTable
        Gateways from which heartbeats arrive.
    state : DeploymentState
        Configuration, backend servers and their loads.
    ingress : IngressContext
        Dependencies that all incoming calls share.
    settings : ForwardingSettings
        Settings of the process.
    """

    __slots__ = (
        '_sections',
        '_sharing',
        'budget',
        'gateways',
        'ingress',
        'settings',
        'state',
        'updater',
    )

    def __init__(
        self, settings: ForwardingSettings, clock: Clock | None = None
    ) -> None:
        """Start without a configuration and without backend servers."""
        clock = clock or BootClock()
        random = Random(SystemRandom().getrandbits(RANDOM_BITS))
        self.settings = settings
        self.budget = SharedRetryBudget(settings.budget, clock)
        self.gateways = GatewayTable(settings.own, clock)
        self.state = create_deployment_state(
            clock,
            settings.own.region,
            settings.regions,
            StatementTable(clock, random, settings.notice),
        )
        self.updater = StateUpdater(self.state)
        self._sharing = CheckSharing(self.gateways, self.updater)
        self.ingress = build_ingress_context(
            clock, self.state, random, settings.memory
        )
        self._sections = SectionRegistry(
            self.ingress.metrics.registry,
            SectionSender(
                settings.own.name,
                settings.own.region,
                self.ingress.lifecycle.incarnation,
            ),
        )

        self.state.pace.learning.mode = settings.placing.learning

    @property
    def sections(self) -> SectionRegistry:
        """Data of single parts that gateways send to each other."""
        return self._sections

    def is_ready(self) -> bool:
        """Return whether callers may use this gateway.

        Without any server of its region, it has to know another gateway that
        reaches servers.
        """
        is_draining = self.ingress.lifecycle.is_draining
        is_usable = self.state.is_loaded and not is_draining
        return is_usable and (
            _update_reach(self.state, self.gateways)
            or _has_way_round(self.gateways, self.settings.list_regions())
        )

    def list_caller_addresses(self, region: str, host: str) -> Sequence[str]:
        """Return the ``host:port`` of the gateways that a caller is to use.

        Ready gateways of the caller's region are preferred, then those of
        regions in which every route of the host may be served. Gateways of
        any other region are returned only if no gateway of the caller's region
        is live: while its gateways are being replaced, the caller waits for
        one rather than send region-bound data to another region. A gateway that
        has just started, or stood, can't know that none is live. Gateways that
        reach no servers are returned only if no others are found. Busy ones
        are returned less often.

        Parameters
        ----------
        region : str
            Region of the caller.
        host : str
            Host to which the caller is going to send calls.
        """
        everywhere = self.settings.list_regions()
        allowed = self.state.configuration.list_allowed_regions(
            host, everywhere
        )
        tiers = [[region], allowed]
        if is_region_lost(self.gateways, region):
            tiers.append(everywhere)
        listed = (
            _list_addresses(self, tier, reaches_servers=reaches_servers)
            for reaches_servers in (True, False)
            for tier in tiers
        )
        return spare_busy(
            self.gateways, next(filter(None, listed), []), self.ingress.random
        )

    def compose_heartbeat(self, sequence: int, region: str) -> Heartbeat:
        """Return the next heartbeat for the gateways of one region.

        Parameters
        ----------
        sequence : int
            Number of the heartbeat.
        region : str
            Region of the receiving gateways.
        """
        own = self.settings.own
        is_local = region == own.region
        statements = self.state.statements
        if is_local:
            self.budget.gateway_count = 1 + len(self.gateways.list_live())
            statements.brittle.gateway_count = len(
                self.gateways.list_names(own.region)
            )
        return Heartbeat(
            name=own.name,
            incarnation=self.ingress.lifecycle.incarnation,
            sequence=sequence,
            region=own.region,
            caller_address=self.settings.caller_address,
            hop_address=self.settings.hop_address,
            is_ready=self.is_ready(),
            version=self.state.configuration.version,
            loads=self.state.loads.own,
            marks=self.updater.revisions,
            readings=self.state.announcements.drain(region),
            hears_store=self.updater.is_store_reachable,
            shut=list_unavailable(self.state),
            # Only gateways of this region send to its servers.
            limits=statements.limits.export() if is_local else (),
            brittle=statements.brittle.table.export() if is_local else (),
            relays=True,
            cold=self._sharing.list_cold(self.state) if is_local else (),
            reaches_servers=_update_reach(self.state, self.gateways),
            sections=self._sections.compose(region),
        )

    def is_watcher(self) -> bool:
        """Return whether this gateway is to watch the store for its region.

        It is, if its name is among the first `WATCHERS_PER_REGION` names of the
        gateways of the region that reach the store. One that has just started,
        or stood, does not know these yet; it reads the store.
        """
        watchers = list_watchers(self.gateways)
        is_settled = self.gateways.stalls.is_settled()
        return is_settled and self.settings.own.name in watchers

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply what another gateway reports of servers and requests."""
        self.updater.record_marks(heartbeat.marks)
        access = self.ingress.bounds.access
        access.newer.record(heartbeat.version)
        self.state.loads.record(heartbeat.name, heartbeat.loads)
        if heartbeat.region != self.settings.own.region:
            # What a gateway without links believes says nothing of servers.
            self.state.remote_regions.record(
                heartbeat.name,
                heartbeat.region,
                heartbeat.shut if heartbeat.reaches_servers else (),
            )
        for prefix in heartbeat.readings:
            self.state.prefixes.record(prefix)
        _merge_reports(self.state, heartbeat)
        self._sections.receive(
            SectionSender(
                heartbeat.name, heartbeat.region, heartbeat.incarnation
            ),
            heartbeat.sections,
        )


def is_keeper(core: GatewayCore) -> bool:
    """Return whether a gateway stores evidence that others have observed.

    It is the first of those that watch the store for their region.
    """
    watchers = list_watchers(core.gateways)
    return core.is_watcher() and watchers[0] == core.settings.own.name


def _list_addresses(
    core: GatewayCore, regions: Sequence[str], *, reaches_servers: bool
) -> Sequence[str]:
    addresses = [
        address
        for region in regions
        for address in core.gateways.list_caller_addresses(
            region, reaches_servers=reaches_servers
        )
    ]
    reaches = _update_reach(core.state, core.gateways)
    is_own = reaches == reaches_servers and core.is_ready()
    if is_own and core.settings.own.region in regions:
        addresses.append(core.settings.caller_address)
    return sorted(addresses)


def _update_reach(state: DeploymentState, gateways: GatewayTable) -> bool:
    gateways.reaches_servers = not state.is_partitioned
    return gateways.reaches_servers


def _has_way_round(gateways: GatewayTable, regions: Sequence[str]) -> bool:
    return any(map(gateways.list_hop_addresses, regions))


def _merge_reports(state: DeploymentState, heartbeat: Heartbeat) -> None:
    state.crashes.reporter.merge(heartbeat.crashes)
    state.crashes.parts.reporter.merge(heartbeat.parts)
    state.statements.limits.merge(heartbeat.limits)
    state.statements.brittle.table.merge(heartbeat.brittle)
    merge_cold(state.warmup, heartbeat.cold)
