"""Parts of a gateway that decide and remember, without listeners."""

from collections.abc import Sequence
from random import Random, SystemRandom

from baobabhinge_coordination.clock import BootClock
from baobabhinge_gateway.forwarding.deployment_state import (
    create_deployment_state,
    list_unavailable,
)
from baobabhinge_gateway.forwarding.ingress_context import IngressContext
from baobabhinge_gateway.forwarding.metrics import CallMetrics
from baobabhinge_gateway.forwarding.retry_budget import SharedRetryBudget
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.forwarding.startup import StartupGate
from baobabhinge_gateway.forwarding.state_updater import StateUpdater
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.neighbours import GatewayTable, Heartbeat

# Gateways of a region that watch the store; one may be lost and another one
# leave. The others hear from them within some 10 ms.
WATCHERS_PER_REGION = 3


class GatewayCore:
    """State of one gateway, and the decisions on it.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings of the process.

    Attributes
    ----------
    budget : SharedRetryBudget
        Bound on repeats.
    updater : StateUpdater
        Takes what the platform and other gateways tell.
    gateways : GatewayTable
        Live gateways.
    state : DeploymentState
        Configuration, servers and loads.
    ingress : IngressContext
        Parts that calls pass.
    settings : ForwardingSettings
        Settings of the process.
    """

    __slots__ = (
        'budget',
        'gateways',
        'ingress',
        'settings',
        'state',
        'updater',
    )

    def __init__(self, settings: ForwardingSettings) -> None:
        """Know nothing."""
        clock = BootClock()
        self.settings = settings
        self.budget = SharedRetryBudget(settings.budget, clock)
        self.gateways = GatewayTable(settings.own, clock)
        self.state = create_deployment_state(
            clock,
            settings.own.region,
            settings.regions,
        )
        self.updater = StateUpdater(self.state)
        self.ingress = IngressContext(
            clock,
            self.state.configuration,
            Random(SystemRandom().getrandbits(64)),
            Lifecycle(clock),
            CallMetrics(),
            StartupGate(clock, self.state),
        )

    def is_ready(self) -> bool:
        """Whether callers may use this gateway."""
        is_draining = self.ingress.lifecycle.is_draining
        return self.state.is_loaded and not is_draining

    def list_caller_addresses(self, region: str, host: str) -> Sequence[str]:
        """Return the gateways that a caller is to use.

        Those of its own region go first, then those of regions in which all
        routes of the host may be served. Others are named only if the own
        region is silent: while its gateways are being replaced, a caller
        waits for one rather than hand bound data to another region.

        Parameters
        ----------
        region : str
            Region of the caller.
        host : str
            Host that the caller is going to ask.
        """
        everywhere = self.settings.list_regions()
        homes = self.state.configuration.list_allowed_regions(host, everywhere)
        tiers = [[region], homes]
        if not self.gateways.list_live(region):
            tiers.append(everywhere)
        for tier in tiers:
            entries = self._list_regions(tier)
            if entries:
                return entries
        return []

    def compose_heartbeat(self, sequence: int, region: str) -> Heartbeat:
        """Return the heartbeat of this number for the gateways of a region."""
        self.budget.gateway_count = 1 + len(self.gateways.list_live())
        return Heartbeat(
            name=self.settings.own.name,
            incarnation=self.ingress.lifecycle.incarnation,
            sequence=sequence,
            region=self.settings.own.region,
            caller_address=self.settings.caller_address,
            hop_address=self.settings.hop_address,
            is_ready=self.is_ready(),
            version=self.state.configuration.version,
            loads=self.state.loads.own,
            marks=self.updater.revisions,
            readings=self.state.announcements.drain(region),
            hears_store=self.updater.is_store_reachable,
            shut=list_unavailable(self.state),
        )

    def is_watcher(self) -> bool:
        """Whether this gateway is to watch the store for its region."""
        own = self.settings.own
        live = self.gateways.list_live(own.region)
        rivals = [beat.name for beat in live if beat.hears_store]
        return own.name in sorted([*rivals, own.name])[:WATCHERS_PER_REGION]

    def apply_heartbeat(self, beat: Heartbeat) -> None:
        """Take what another gateway tells of servers."""
        if beat.marks.is_ahead_of(self.updater.revisions):
            self.updater.is_behind.set()
        self.state.loads.record(beat.name, beat.loads)
        if beat.region != self.settings.own.region:
            self.state.remote_regions.record(beat.name, beat.region, beat.shut)
        for reading in beat.readings:
            self.state.prefixes.record(reading)

    def _list_regions(self, regions: Sequence[str]) -> Sequence[str]:
        entries = [
            entry
            for region in regions
            for entry in self.gateways.list_caller_addresses(region)
        ]
        if self.settings.own.region in regions and self.is_ready():
            entries.append(self.settings.caller_address)
        return sorted(entries)
