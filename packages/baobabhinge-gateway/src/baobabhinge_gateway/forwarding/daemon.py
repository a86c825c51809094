"""The gateway for forwarded calls, as one tree of services."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from random import Random, SystemRandom

import msgspec
import structlog
from mode import Service

from baobabhinge_coordination.clock import BootClock
from baobabhinge_gateway.deployment import (
    BackendServer,
    ConfigurationHolder,
    Revision,
    ServerCatalogue,
)
from baobabhinge_gateway.forwarding.attempt import Attempts
from baobabhinge_gateway.forwarding.choosing import Chooser, Surroundings
from baobabhinge_gateway.forwarding.connecting import build_strict_session
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.health import HealthChecker
from baobabhinge_gateway.forwarding.ingress import (
    CallerIngress,
    HopIngress,
    Reception,
)
from baobabhinge_gateway.forwarding.loads import LoadTable
from baobabhinge_gateway.forwarding.meters import CallMeters
from baobabhinge_gateway.forwarding.placement import (
    Knowledge,
    Placement,
    find_ranking,
)
from baobabhinge_gateway.forwarding.prefixes import PrefixHistory
from baobabhinge_gateway.forwarding.protocols import (
    BackendProtocol,
    CallerProtocol,
)
from baobabhinge_gateway.forwarding.retries import (
    BudgetTerms,
    SharedRetryBudget,
)
from baobabhinge_gateway.forwarding.serving import HttpListener
from baobabhinge_gateway.forwarding.trust import ServerTrust
from baobabhinge_gateway.forwarding.warmup import WarmUpPace
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.neighbours import (
    Contact,
    GatewayTable,
    Heartbeat,
    HeartbeatService,
)

CHECK_INTERVAL = timedelta(milliseconds=50)
# Most callers have asked for gateways again by then (they are told to after
# 2 s); a stream that begins later might not end within the grace period.
LEAVING_TIME = timedelta(milliseconds=2500)
# The rest of the grace period is for the end of the process.
GRACE_RESERVE = timedelta(milliseconds=700)

log = structlog.get_logger(__name__)


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Settings of the gateway for forwarded calls.

    Parameters
    ----------
    own : Contact
        Name, region, and address for heartbeats.
    caller_address, hop_address : str
        ``host:port`` for callers and for other gateways.
    regions : mapping of str to str
        Region of each failure domain.
    budget : BudgetTerms
        Retry budget of all gateways together.
    grace : timedelta
        Time from SIGTERM to the end.
    ranking : str
        Name of the ranking of backend servers.
    """

    own: Contact
    caller_address: str
    hop_address: str
    regions: Mapping[str, str]
    budget: BudgetTerms
    grace: timedelta
    ranking: str = 'soonest'


class ForwardingGateway(Service):
    """One gateway process for forwarded calls.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings of the process.
    callers : CallerProtocol
        How callers speak.
    backends : BackendProtocol
        How backend servers are spoken to.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        callers: CallerProtocol,
        backends: BackendProtocol,
    ) -> None:
        """Start nothing yet."""
        super().__init__()
        clock = BootClock()
        self.own_contact = settings.own
        self._settings = settings
        self._callers = callers
        self._backends = backends
        self._clock = clock
        self._random = Random(SystemRandom().getrandbits(64))
        self._lifecycle = Lifecycle(clock)
        self._table = GatewayTable(settings.own, clock)
        self._meters = CallMeters()
        self._budget = SharedRetryBudget(settings.budget, clock)
        self._known = Knowledge(
            clock=clock,
            holder=ConfigurationHolder(),
            catalogue=ServerCatalogue(clock),
            loads=LoadTable(clock),
            prefixes=PrefixHistory(clock),
            trust=ServerTrust(clock),
            warmup=WarmUpPace(clock),
            regions=settings.regions,
        )
        self._has_servers = False
        self._heartbeats = HeartbeatService(
            self._table,
            self._compose,
            self._known.loads.hear,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may use this gateway."""
        known = self._known.holder.revision is not None
        return known and self._has_servers and not self._lifecycle.is_draining

    def render_metrics(self) -> bytes:
        """Return the counters as text."""
        return self._meters.render()

    def list_entries(self, region: str) -> Sequence[str]:
        """Return the gateways that a caller of ``region`` is to use."""
        entries = self._list_region(region)
        if not entries:
            entries = [
                address
                for other in set(self._settings.regions.values())
                for address in self._list_region(other)
            ]
        return sorted(entries)

    def adopt(self, revision: Revision) -> None:
        """Put a configuration in force unless it is older."""
        self._known.holder.adopt(revision)

    def evacuate(self, domains: frozenset[str]) -> None:
        """Send nothing to these failure domains; take others back."""
        released = self._known.holder.evacuated - domains
        self._known.holder.evacuate(domains)
        for server in self._known.catalogue.list_all():
            if server.failure_domain in released:
                self._known.trust.suspect(server.name, 'evacuation ended')

    def list_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the whole list of backend servers."""
        listed = list(servers)
        for server in listed:
            self._note_cold(server)
        self._known.catalogue.replace(listed)
        self._has_servers = True

    def put_server(self, server: BackendServer) -> None:
        """Take one changed backend server."""
        self._note_cold(server)
        self._known.catalogue.put(server)

    def remove_server(self, name: str) -> None:
        """Take the end of a backend server's entry."""
        self._known.catalogue.remove(name)

    def note_store_failure(self) -> None:
        """Note that the store fails, so that entries may lapse by mistake."""
        self._known.catalogue.note_unsteady()

    def limit_retries(self, terms: BudgetTerms) -> None:
        """Take changed terms of the retry budget."""
        self._budget.terms = terms

    def add_contact(self, contact: Contact) -> None:
        """Learn where another gateway is."""
        self._table.add_contact(contact)

    def add_seed(self, host: str, port: int) -> None:
        """Learn where another gateway may be, without its name."""
        if host != self._settings.own.host:
            self._table.add_contact(Contact(f'seed {host}', '', host, port))

    async def on_start(self) -> None:
        """Start the parts, listeners last."""
        log.info('starting', incarnation=self._lifecycle.incarnation)
        http = await self.add_async_context(build_strict_session())
        known = self._known
        placement = Placement(known)
        attempts = Attempts(http, self._backends, placement, known)
        dispatcher = Dispatcher(
            self._build_chooser(placement),
            attempts,
            self._budget,
            self._clock,
        )
        await self.add_runtime_dependency(
            HealthChecker(
                http, self._backends, known, self._settings.own.region
            ),
        )
        await self.add_runtime_dependency(self._heartbeats)
        await self._listen(dispatcher)

    async def drain(self) -> None:
        """Be unready, serve what comes, then only what is open.

        Returns when nothing is open, or the grace period is nearly over.
        """
        self._lifecycle.is_draining = True
        log.info('draining', open_calls=self._meters.open_calls)
        self._heartbeats.tell()
        latest = self._clock.read_monotonic()
        latest += self._settings.grace - GRACE_RESERVE
        await asyncio.sleep(LEAVING_TIME.total_seconds())
        await self._entrance.close_entrance()
        log.info('entrance-closed', open_calls=self._meters.open_calls)
        while self._meters.open_calls:
            if self._clock.read_monotonic() >= latest:
                break
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
        log.info('stopping', open_calls=self._meters.open_calls)

    def _build_chooser(self, placement: Placement) -> Chooser:
        own = self._settings.own
        regions = sorted(set(self._settings.regions.values()))
        return Chooser(
            placement,
            Surroundings(own.name, own.region, regions, self._table),
            self._known.warmup,
            find_ranking(self._settings.ranking),
            self._random,
        )

    async def _listen(self, dispatcher: Dispatcher) -> None:
        reception = Reception(
            self._clock,
            self._known.holder,
            self._random,
            self._lifecycle,
            self._meters,
        )
        callers = CallerIngress(reception, self._callers, dispatcher)
        hops = HopIngress(reception, dispatcher)
        self._entrance = HttpListener(
            self._settings.caller_address,
            callers.answer,
        )
        await self.add_runtime_dependency(
            HttpListener(self._settings.hop_address, hops.answer),
        )
        await self.add_runtime_dependency(self._entrance)

    def _compose(self, sequence: int) -> Heartbeat:
        self._budget.gateways = self._table.count_live()
        return Heartbeat(
            name=self._settings.own.name,
            incarnation=self._lifecycle.incarnation,
            sequence=sequence,
            region=self._settings.own.region,
            caller_address=self._settings.caller_address,
            hop_address=self._settings.hop_address,
            is_ready=self.is_ready,
            version=self._known.holder.version,
            loads=self._known.loads.snapshot(),
        )

    def _list_region(self, region: str) -> Sequence[str]:
        entries = list(self._table.list_entries(region))
        if self.is_ready and region == self._settings.own.region:
            entries.append(self._settings.caller_address)
        return entries

    def _note_cold(self, server: BackendServer) -> None:
        listed = self._known.catalogue.find(server.name)
        if listed != server:
            self._known.warmup.note_cold(server.name, server.cold_for)
