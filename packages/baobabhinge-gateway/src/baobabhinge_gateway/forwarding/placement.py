"""Estimates for a call on each backend server of a region.

Load pattern: servers of unequal speed and load, and engines that have parts
of the prompt cached.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from functools import partial

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.deployment.servers import may_begin_stream
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import (
    DeploymentState,
    list_available,
    list_departing,
)
from baobabhinge_gateway.forwarding.engine_timing import (
    estimate_first_event_time,
    estimate_prefill_time,
)
from baobabhinge_gateway.forwarding.estimates import (
    ServerEstimate,
    estimate_plain_service,
)
from baobabhinge_gateway.forwarding.prefix_copying import (
    PrefixSource,
    PromptEstimator,
    choose_source,
    find_prefix_source,
)
from baobabhinge_gateway.pace.service_pace import ServicePace


class Placement:
    """Estimate a call on the available servers of a region.

    Parameters
    ----------
    state : DeploymentState
        Servers, loads, cached prefixes and failure rates.
    """

    __slots__ = ('_state',)

    def __init__(self, state: DeploymentState) -> None:
        """Store the state, which other components update."""
        self._state = state

    def list_warm(
        self,
        call: Call,
        region: str,
        tried: Collection[str] = (),
        *,
        has_suspected: bool = False,
    ) -> Sequence[ServerEstimate]:
        """Return estimates for the warm servers of ``region``.

        Parameters
        ----------
        call : Call
            The call.
        region : str
            Region of the servers.
        tried : collection of str, optional
            Servers to leave out.
        has_suspected : bool, optional
            Whether to return suspected servers too.
        """
        candidates = self._list_candidates(
            call, region, tried, has_suspected=has_suspected
        )
        source = find_prefix_source(self._state, call, candidates)
        pace = self._state.pace.find(call.service)
        estimates = [
            self._estimate(call, server, source, pace)
            for server in candidates
            if not self._state.is_cold(server)
        ]
        return estimates if pace is None else pace.balance(estimates)

    def list_cold(
        self,
        call: Call,
        region: str,
        tried: Collection[str] = (),
    ) -> Sequence[ServerEstimate]:
        """Return estimates for the cold servers of ``region``.

        Parameters
        ----------
        call : Call
            The call.
        region : str
            Region of the servers.
        tried : collection of str, optional
            Servers to leave out.
        """
        pace = self._state.pace.find(call.service)
        return [
            self._estimate(call, server, None, pace)
            for server in self._list_candidates(call, region, tried)
            if self._state.is_cold(server)
        ]

    def list_departing(
        self,
        call: Call,
        region: str,
        tried: Collection[str] = (),
    ) -> Sequence[ServerEstimate]:
        """Return estimates for the leaving servers of ``region``.

        Parameters
        ----------
        call : Call
            The call.
        region : str
            Region of the servers.
        tried : collection of str, optional
            Servers to leave out.
        """
        departing = list_departing(self._state, call.service)
        pace = self._state.pace.find(call.service)
        return [
            self._estimate(call, server, None, pace)
            for server in self._select(call, region, tried, departing)
            if not self._state.is_cold(server)
        ]

    def _list_candidates(
        self,
        call: Call,
        region: str,
        tried: Collection[str],
        *,
        has_suspected: bool = False,
    ) -> Sequence[BackendServer]:
        available = list_available(
            self._state, call.service, has_suspected=has_suspected
        )
        return self._select(call, region, tried, available)

    def _select(
        self,
        call: Call,
        region: str,
        tried: Collection[str],
        servers: Sequence[BackendServer],
    ) -> Sequence[BackendServer]:
        state = self._state
        begins = call.route.kind.is_resumable and call.origin is None
        candidates = [
            server
            for server in servers
            if state.regions.get(server.failure_domain) == region
            and server.name not in tried
            and call.may_run_on(server)
            and (not begins or may_begin_stream(state.catalogue, server))
        ]
        only = state.crashes.parts.choose_only_server(
            call, partial(_list_listed, state, call.service, region)
        )
        return [one for one in candidates if only in {None, one.name}]

    def _estimate(
        self,
        call: Call,
        server: BackendServer,
        source: PrefixSource | None,
        pace: ServicePace | None,
    ) -> ServerEstimate:
        state = self._state
        load = state.loads.read(server.name)
        if pace is not None:
            load = pace.correct(server.name, load)
        engine = state.find_engine(call.service)
        if call.head.demand is None or engine is None:
            estimate = estimate_plain_service(server, load)
        else:
            estimate = PromptEstimator(
                call.head.demand,
                engine,
                choose_source(source, server),
                call.priority,
                call.route.time_limit,
            ).estimate(
                server,
                load,
                state.prefixes.count_cached(server.name, call.head.demand),
            )
        if pace is not None:
            estimate = pace.adjust(estimate)
        return estimate.delay_by(state.reliability.compute_penalty(server.name))


def compute_shortest_wait(state: DeploymentState, call: Call) -> timedelta:
    """Return a lower bound of the wait for a call at any server.

    It is that of an idle server which has cached what can be cached.

    Parameters
    ----------
    state : DeploymentState
        Services and their engines.
    call : Call
        The call.
    """
    demand = call.head.demand
    if demand is None or state.find_engine(call.service) is None:
        return timedelta()
    unread = demand.prompt - demand.shared_tokens
    return estimate_prefill_time(unread) + estimate_first_event_time(0)


def _list_listed(
    state: DeploymentState, service: str, region: str
) -> Sequence[BackendServer]:
    return [
        server
        for server in state.catalogue.list_usable(service)
        if state.regions.get(server.failure_domain) == region
    ]
