"""Parts of a gateway that decide and remember, without listeners."""

from collections.abc import Sequence
from random import Random, SystemRandom

from baobabhinge_coordination.clock import BootClock
from baobabhinge_gateway.forwarding.feed import KnowledgeFeed
from baobabhinge_gateway.forwarding.knowledge import (
    create_knowledge,
    list_shut,
)
from baobabhinge_gateway.forwarding.meters import CallMeters
from baobabhinge_gateway.forwarding.reception import Reception
from baobabhinge_gateway.forwarding.retry_budget import SharedRetryBudget
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.forwarding.startup import StartGate
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.neighbours import GatewayTable, Heartbeat

# Gateways of a region that watch the store; one may be lost and another one
# leave. The others hear from them within some 10 ms.
WATCHERS = 3


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
    feed : KnowledgeFeed
        Takes what the platform and other gateways tell.
    gateways : GatewayTable
        Live gateways.
    knowledge : Knowledge
        Configuration, servers and loads.
    reception : Reception
        Parts that calls pass.
    settings : ForwardingSettings
        Settings of the process.
    """

    __slots__ = (
        'budget',
        'feed',
        'gateways',
        'knowledge',
        'reception',
        'settings',
    )

    def __init__(self, settings: ForwardingSettings) -> None:
        """Know nothing."""
        clock = BootClock()
        self.settings = settings
        self.budget = SharedRetryBudget(settings.budget, clock)
        self.gateways = GatewayTable(settings.own, clock)
        self.knowledge = create_knowledge(
            clock,
            settings.own.region,
            settings.regions,
        )
        self.feed = KnowledgeFeed(self.knowledge)
        self.reception = Reception(
            clock,
            self.knowledge.holder,
            Random(SystemRandom().getrandbits(64)),
            Lifecycle(clock),
            CallMeters(),
            StartGate(clock, self.knowledge),
        )

    def is_ready(self) -> bool:
        """Whether callers may use this gateway."""
        is_draining = self.reception.lifecycle.is_draining
        return self.knowledge.is_informed and not is_draining

    def list_entries(self, region: str, host: str) -> Sequence[str]:
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
        homes = self.knowledge.holder.list_homes(host, everywhere)
        tiers = [[region], homes]
        if not self.gateways.list_live(region):
            tiers.append(everywhere)
        for tier in tiers:
            entries = self._list_regions(tier)
            if entries:
                return entries
        return []

    def compose(self, sequence: int, region: str) -> Heartbeat:
        """Return the heartbeat of this number for the gateways of a region."""
        self.budget.gateway_count = 1 + len(self.gateways.list_live())
        return Heartbeat(
            name=self.settings.own.name,
            incarnation=self.reception.lifecycle.incarnation,
            sequence=sequence,
            region=self.settings.own.region,
            caller_address=self.settings.caller_address,
            hop_address=self.settings.hop_address,
            is_ready=self.is_ready(),
            version=self.knowledge.holder.version,
            loads=self.knowledge.loads.own,
            marks=self.feed.marks,
            readings=self.knowledge.news.drain(region),
            hears_store=self.feed.hears_store,
            shut=list_shut(self.knowledge),
        )

    def is_watcher(self) -> bool:
        """Whether this gateway is to watch the store for its region."""
        own = self.settings.own
        live = self.gateways.list_live(own.region)
        rivals = [beat.name for beat in live if beat.hears_store]
        return own.name in sorted([*rivals, own.name])[:WATCHERS]

    def hear(self, beat: Heartbeat) -> None:
        """Take what another gateway tells of servers."""
        if beat.marks.is_ahead_of(self.feed.marks):
            self.feed.is_behind.set()
        self.knowledge.loads.record(beat.name, beat.loads)
        if beat.region != self.settings.own.region:
            self.knowledge.others.record(beat.name, beat.region, beat.shut)
        for reading in beat.readings:
            self.knowledge.prefixes.record(reading)

    def _list_regions(self, regions: Sequence[str]) -> Sequence[str]:
        entries = [
            entry
            for region in regions
            for entry in self.gateways.list_entries(region)
        ]
        if self.settings.own.region in regions and self.is_ready():
            entries.append(self.settings.caller_address)
        return sorted(entries)
