"""Health checks of servers that may have failed, restarted or become cold.

Load pattern: servers that become cold while the store, which would report it,
is unreachable or slow.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import structlog

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.check_sharing import CheckSharing
from baobabhinge_gateway.forwarding.deployment_state import (
    DeploymentState,
)
from baobabhinge_gateway.forwarding.health_request import HealthRequester
from baobabhinge_gateway.forwarding.link_probing import LinkProbing
from baobabhinge_gateway.forwarding.send_gate import SendGate
from baobabhinge_gateway.supervision import SupervisedService

# Bounds the time until a server that recovered gets calls again.
CHECK_PERIOD = timedelta(milliseconds=300)

log = structlog.get_logger(__name__)


class HealthChecker(SupervisedService):
    """Check suspected and possibly cold servers of the local region.

    Parameters
    ----------
    requester : HealthRequester
        Sends the checks.
    state : DeploymentState
        Names the servers to check and records the results.
    gate : SendGate
        Decides when a server with a limit or a pause may be checked.
    sharing : CheckSharing
        Decides which gateways check servers that may be cold.
    probing : LinkProbing
        Decides what to check when the links to all servers may be gone.
    """

    def __init__(
        self,
        requester: HealthRequester,
        state: DeploymentState,
        gate: SendGate,
        sharing: CheckSharing,
        probing: LinkProbing,
    ) -> None:
        """Store the collaborators; checks begin when the service starts."""
        super().__init__()
        self._requester = requester
        self._state = state
        self._gate = gate
        self._sharing = sharing
        self._probing = probing

    async def on_start(self) -> None:
        """Start the loops of checks."""
        self.add_loop(self._check_forever)
        self.add_loop(self._check_lost_runs)

    async def _check_forever(self) -> None:
        while not self.should_stop:
            servers = filter(
                self._gate.may_send,
                list_servers_to_check(self._state, self._sharing.is_checker),
            )
            await asyncio.gather(
                *map(self._check, self._probing.choose_checks(servers)),
                *map(self._probe, self._probing.list_untried()),
            )
            await self.sleep(CHECK_PERIOD.total_seconds())

    async def _check_lost_runs(self) -> None:
        lost_runs = self._state.crashes.lost_runs
        while not self.should_stop:
            await lost_runs.has_new.wait()
            lost_runs.has_new.clear()
            # A check that takes long does not delay those of other servers.
            for server in lost_runs.list_servers():
                self.add_loop(partial(self._check, server))

    async def _check(self, server: BackendServer) -> None:
        if self._gate.pauses.is_paused(server):
            # Health checks are requests too.
            return
        self._gate.record_send(server)
        health = await self._requester.request(server)
        if health.has_ended:
            await self._record_end(server)
        if not health.is_good:
            return
        self._state.crashes.lost_runs.remove(server.name)
        if health.cold_for > timedelta():
            self._state.warmup.record_cold(server.name, health.cold_for)
        else:
            self._state.warmup.record_warm(server.name)
        self._state.reliability.clear(server.name)

    async def _record_end(self, server: BackendServer) -> None:
        """Record that a server has ended, unless the links to all are gone."""
        if not self._state.crashes.lost_runs.has_lost(server.name):
            return
        unknown = self._probing.list_witnesses(server)
        await asyncio.gather(*map(self._probe, unknown))
        if self._probing.is_sound(server):
            log.info('backend-server-unreached', server=server.name)
            self._state.crashes.lost_runs.remove(server.name)
        else:
            self._state.crashes.record_end(server.name)

    async def _probe(self, server: BackendServer) -> None:
        """Find out whether a server is reached that nothing is wrong with."""
        if not self._gate.may_send(server):
            return
        self._gate.record_send(server)
        health = await self._requester.request(server)
        if health.has_ended:
            self._state.reliability.suspect_unreached(
                server.name, 'not reached'
            )


def list_servers_to_check(
    state: DeploymentState, is_checker: Callable[[BackendServer], bool]
) -> list[BackendServer]:
    """Return the servers of the local region that this gateway is to check.

    These are the suspected servers. While the store is unreachable or slow,
    the servers of services with a warm-up rate are checked too, as no other
    source may report that they are cold. Servers with lost runs are checked
    also if they are leaving or not listed any more.

    Parameters
    ----------
    state : DeploymentState
        Names the servers, and those that are suspected.
    is_checker : callable
        Returns whether this gateway checks a server that may be cold.
    """
    doubtful = state.crashes.lost_runs.list_servers()
    checked = {server.name: server for server in doubtful}
    for server in state.catalogue.list_all():
        if (
            state.is_local(server)
            and not server.is_leaving
            and not state.statements.departures.is_leaving(server)
            and _needs_check(state, server, is_checker)
        ):
            checked[server.name] = server
    return list(checked.values())


def _needs_check(
    state: DeploymentState,
    server: BackendServer,
    is_checker: Callable[[BackendServer], bool],
) -> bool:
    if server.name in state.reliability.suspected:
        return True
    if state.catalogue.is_store_stable:
        return False
    may_be_cold = state.find_warm_up_rate(server.service) > 0
    return may_be_cold and is_checker(server)
