"""One health check of a backend server."""

from datetime import timedelta

import aiohttp
import structlog

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    discard_body,
    open_exchange,
)
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.protocols import (
    BackendProtocol,
    HealthCheckResult,
)
from baobabhinge_gateway.forwarding.statement_reading import record_statement

# Longer than a healthy server takes, even with a full queue before the check.
CHECK_TIMEOUT = timedelta(milliseconds=800)

log = structlog.get_logger(__name__)


class HealthRequester:
    """Send health checks, and read what their answers say of the servers.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the checks; it is not closed here.
    backends : BackendProtocol
        Headers of a health check, and the meaning of its answer.
    state : DeploymentState
        Names the paths of the checks and records what servers say.
    """

    __slots__ = ('_backends', '_http', '_state')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        backends: BackendProtocol,
        state: DeploymentState,
    ) -> None:
        """Store the collaborators."""
        self._http = http
        self._backends = backends
        self._state = state

    async def request(self, server: BackendServer) -> HealthCheckResult:
        """Check a server once and return the result."""
        service = self._state.find_service(server.service)
        if service is None:
            return HealthCheckResult(is_good=False)
        outbound = OutboundRequest(
            'GET',
            server.address,
            service.health_path,
            self._backends.compose_check(server),
            b'',
            CHECK_TIMEOUT,
        )
        try:
            async with open_exchange(self._http, outbound) as response:
                self._state.reliability.reach.record_reached()
                await discard_body(response)
                return self._read(server, response)
        except (NotReachedError, ForwardingError) as failure:
            log.debug(
                'health-check-failed',
                server=server.name,
                reason=repr(failure),
            )
            is_unreached = isinstance(failure, NotReachedError)
            if is_unreached:
                self._state.reliability.reach.record_unreached(server.name)
            return HealthCheckResult(is_good=False, has_ended=is_unreached)

    def _read(
        self, server: BackendServer, response: aiohttp.ClientResponse
    ) -> HealthCheckResult:
        health = self._backends.read_health(server, response)
        if not health.has_ended:
            record_statement(
                self._state.statements,
                server,
                self._backends.read_statement(response),
                may_end_limit=False,
            )
        return health
