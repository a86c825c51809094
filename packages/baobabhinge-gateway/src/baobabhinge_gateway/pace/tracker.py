"""What this gateway knows of the speeds and the loads of servers."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import (
    BackendServer,
)
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.server_statements import StatedLoad
from baobabhinge_gateway.pace.factors import (
    NOTHING_LEARNED,
    LearnedService,
    learn_service,
)
from baobabhinge_gateway.pace.learning import Learning
from baobabhinge_gateway.pace.paces import StatedPaces
from baobabhinge_gateway.pace.run_times import (
    RunTimes,
    estimate_work,
    evaluate_run,
)
from baobabhinge_gateway.pace.service_pace import ServicePace
from baobabhinge_gateway.pace.stated import StatedLoads
from baobabhinge_gateway.pace.tables import FigureTables

# Summing the reports of tens of gateways for each call would cost more than
# the rest of its placement.
REFRESH_INTERVAL = timedelta(milliseconds=250)
# Weight of the newest prompt in the mean prompt of a service.
NEWEST_FRACTION = 0.05


class PaceTracker:
    """Speeds and loads of the servers of all services.

    Parameters
    ----------
    clock : Clock
        Clock of the observations.

    Attributes
    ----------
    learning : Learning
        Services for which anything is learned.
    loads : StatedLoads
        Loads that servers state.
    paces : StatedPaces
        Paces that servers state.
    tables : FigureTables
        Figures of this and of other gateways.
    """

    __slots__ = (
        '_clock',
        '_learned',
        '_prompts',
        '_refreshed',
        'learning',
        'loads',
        'paces',
        'tables',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without observations."""
        self._clock = clock
        self._learned: dict[str, LearnedService] = {}
        self._refreshed: timedelta | None = None
        self._prompts: dict[str, float] = {}
        self.learning = Learning()
        self.loads = StatedLoads(clock)
        self.paces = StatedPaces(clock)
        self.tables = FigureTables(clock)

    def find(self, service: str) -> ServicePace | None:
        """Return what is known of a service; ``None`` if nothing is learned."""
        if not self.learning.is_active(service):
            return None
        prompt = int(self._prompts.get(service, 0))
        return ServicePace(self._learn(service), self.loads, self.paces, prompt)

    def record_load(self, server: BackendServer, load: StatedLoad) -> None:
        """Record the load that a server states on an answer."""
        if load.pace is not None:
            self.learning.record_pace(server.service)
        if not self.learning.is_active(server.service):
            return
        self.loads.record(server.name, load)
        if load.pace is not None:
            self.paces.record(server.name, load.pace)

    def begin_run(self, estimate: ServerEstimate, output: int) -> RunTimes:
        """Record that a call is sent.

        Parameters
        ----------
        estimate : ServerEstimate
            Estimate by which the server was chosen.
        output : int
            Tokens that the answer is expected to have; 0 for a plain call.
        """
        if estimate.expected is not None:
            server = estimate.server
            self.loads.record_send(server.name)
            self.tables.own.record(
                server.service, server.name, estimate_work(estimate, output)
            )
            known = self._prompts.get(server.service, estimate.added.unread)
            known += NEWEST_FRACTION * (estimate.added.unread - known)
            self._prompts[server.service] = known
        return RunTimes(self._clock.read_monotonic())

    def end_run(self, estimate: ServerEstimate, times: RunTimes) -> None:
        """Record that a call was answered completely."""
        if estimate.expected is None:
            return
        server = estimate.server
        observed = evaluate_run(
            times,
            self._clock.read_monotonic(),
            estimate,
            self._learn(server.service),
            self.paces.find(server.name),
        )
        self.tables.own.record(server.service, server.name, observed)

    def _learn(self, service: str) -> LearnedService:
        now = self._clock.read_monotonic()
        last = self._refreshed
        if last is None or now - last >= REFRESH_INTERVAL:
            self._refreshed = now
            self._learned = {
                name: learn_service(servers)
                for name, servers in self.tables.sum_all().items()
            }
        return self._learned.get(service, NOTHING_LEARNED)
