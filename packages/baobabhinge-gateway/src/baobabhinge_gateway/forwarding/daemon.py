"""Service tree of a gateway process that forwards calls."""

import asyncio
from datetime import timedelta

import structlog

from baobabhinge_gateway.forwarding.assembly import build_dispatcher
from baobabhinge_gateway.forwarding.connector import build_strict_session
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.health_assembly import (
    build_health_checker,
)
from baobabhinge_gateway.forwarding.listeners import (
    build_caller_listener,
    build_hop_listener,
)
from baobabhinge_gateway.forwarding.peer_exchange import PeerExchange
from baobabhinge_gateway.forwarding.protocols import (
    BackendProtocol,
    CallerProtocol,
)
from baobabhinge_gateway.forwarding.state_sharing import build_state_sharing
from baobabhinge_gateway.supervision import SupervisedService

CHECK_INTERVAL = timedelta(milliseconds=50)
REPORT_PAUSE = timedelta(milliseconds=10)

log = structlog.get_logger(__name__)


class ForwardingGateway(SupervisedService):
    """Gateway process that forwards calls.

    Parameters
    ----------
    core : GatewayCore
        State and decisions of the gateway.
    callers : CallerProtocol
        Protocol of the callers.
    backends : BackendProtocol
        Protocol of the backend servers.
    """

    def __init__(
        self,
        core: GatewayCore,
        callers: CallerProtocol,
        backends: BackendProtocol,
    ) -> None:
        """Create the heartbeat service; nothing is started."""
        super().__init__()
        self._core = core
        self._callers = callers
        access = core.ingress.bounds.access
        access.credential_headers = callers.credential_headers
        self._backends = backends
        peers = PeerExchange(core)
        self._heartbeats = peers.heartbeats
        self._take_ups = peers.take_ups

    async def on_start(self) -> None:
        """Start all child services; the listener for callers is last."""
        core = self._core
        log.info('starting', incarnation=core.ingress.lifecycle.incarnation)
        http = await self.add_async_context(build_strict_session())
        dispatcher = build_dispatcher(
            core, http, self._backends, self._take_ups
        )
        self._caller_listener = build_caller_listener(
            core, self._callers, dispatcher, self._take_ups
        )
        state_sharing = build_state_sharing(core, http, self.send_heartbeats)
        for part in (
            build_health_checker(core, http, self._backends),
            self._heartbeats,
            state_sharing.fetcher,
            build_hop_listener(core, dispatcher, state_sharing.sender),
            self._caller_listener,
        ):
            await self.add_runtime_dependency(part)
        self.add_loop(self._report_crashes)

    def send_heartbeats(self) -> None:
        """Send heartbeats now, so that other gateways see a change at once."""
        self._heartbeats.send_heartbeats()

    async def drain(self) -> None:
        """Announce draining, accept calls for a while, then finish open ones.

        Returns once no call is open and all connections are closed, or when
        the grace period has almost passed.
        """
        ingress = self._core.ingress
        ingress.lifecycle.is_draining = True
        log.info('draining', open_calls=ingress.metrics.open_calls)
        self._heartbeats.send_heartbeats()
        times = ingress.bounds.stopping.begin(self._core.settings.grace)
        await asyncio.sleep(times.accepting.total_seconds())
        await self._caller_listener.stop_accepting()
        log.info(
            'caller-listener-closed', open_calls=ingress.metrics.open_calls
        )
        while self._caller_listener.connections or ingress.metrics.open_calls:
            if ingress.clock.read_monotonic() >= times.latest:
                break
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
        log.info('stopping', open_calls=ingress.metrics.open_calls)

    async def _report_crashes(self) -> None:
        has_news = self._core.state.crashes.has_news
        while not self.should_stop:
            await has_news.wait()
            has_news.clear()
            self._heartbeats.send_reports(is_urgent=True)
            # What becomes known meanwhile is told together.
            await self.sleep(REPORT_PAUSE.total_seconds())
