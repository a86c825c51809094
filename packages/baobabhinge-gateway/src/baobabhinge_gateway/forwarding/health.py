"""Health checks of backend servers that may have failed, restarted or cooled.

Load pattern: servers that become cold while the store, which would say so, is
away or slow.
"""

import asyncio
from datetime import timedelta

import aiohttp
import structlog
from mode import Service

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.exchange import (
    Outbound,
    open_exchange,
    read_whole,
)
from baobabhinge_gateway.forwarding.knowledge import Knowledge
from baobabhinge_gateway.forwarding.problems import (
    ForwardingError,
)
from baobabhinge_gateway.forwarding.protocols import BackendProtocol, Health

# Servers that are back are taken again within this time.
PERIOD = timedelta(milliseconds=300)
# Longer than a healthy server takes, also with a full queue before the check.
CHECK_LIMIT = timedelta(milliseconds=800)

log = structlog.get_logger(__name__)


class HealthChecker(Service):
    """Check the servers in doubt until a check is good.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns.
    backends : BackendProtocol
        How a server is asked.
    knowledge : Knowledge
        Tells whom to check and takes the results.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        backends: BackendProtocol,
        knowledge: Knowledge,
    ) -> None:
        """Check nothing yet."""
        super().__init__()
        self._http = http
        self._backends = backends
        self._known = knowledge

    async def on_start(self) -> None:
        """Begin."""
        self.add_future(self._check_forever())

    async def _check_forever(self) -> None:
        while not self.should_stop:
            due = list_servers_to_check(self._known)
            await asyncio.gather(*map(self._check, due))
            await self.sleep(PERIOD.total_seconds())

    async def _check(self, server: BackendServer) -> None:
        health = await self._ask(server)
        if not health.is_good:
            return
        if health.cold_for > timedelta():
            self._known.warmup.record_cold(server.name, health.cold_for)
        else:
            self._known.warmup.record_warm(server.name)
        self._known.trust.clear(server.name)

    async def _ask(self, server: BackendServer) -> Health:
        service = self._known.find_service(server.service)
        if service is None:
            return Health(is_good=False)
        outbound = Outbound(
            'GET',
            server.address,
            service.health_path,
            self._backends.compose_check(server),
            b'',
            CHECK_LIMIT,
        )
        try:
            async with open_exchange(self._http, outbound) as response:
                await read_whole(response)
                return self._backends.judge_health(server, response)
        except (NotReachedError, ForwardingError) as failure:
            log.debug(
                'health-check-failed',
                server=server.name,
                reason=repr(failure),
            )
            return Health(is_good=False)


def list_servers_to_check(known: Knowledge) -> list[BackendServer]:
    """Return the servers to check.

    Those that are not trusted; and while the store fails or is slow, those
    that bear few calls when they are cold, as nobody else may say that.
    """
    return [
        server
        for server in known.catalogue.list_all()
        if known.is_reached(server)
        and not server.is_leaving
        and _is_doubtful(known, server)
    ]


def _is_doubtful(known: Knowledge, server: BackendServer) -> bool:
    if server.name in known.trust.suspected:
        return True
    may_be_cold = known.find_warm_up_rate(server.service) > 0
    return may_be_cold and not known.catalogue.is_steady
