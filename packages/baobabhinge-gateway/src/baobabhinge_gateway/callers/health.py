"""Health of this gateway, and closing of connections while it drains."""

from http import HTTPStatus

from aiohttp import web

from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import VmWatcher
from baobabhinge_gateway.lifecycle import Lifecycle


class HealthReport:
    """Handlers of ``GET /healthz`` and ``GET /readyz``.

    Parameters
    ----------
    active : ActiveConfiguration
        Configuration in force.
    lifecycle : Lifecycle
        Whether this gateway is draining.
    watcher : VmWatcher
        List of vms as last read from the platform.
    """

    __slots__ = ('_active', '_lifecycle', '_watcher')

    def __init__(
        self,
        active: ActiveConfiguration,
        lifecycle: Lifecycle,
        watcher: VmWatcher,
    ) -> None:
        """Store the collaborators."""
        self._active = active
        self._lifecycle = lifecycle
        self._watcher = watcher

    def add_to(self, app: web.Application) -> None:
        """Add both paths to ``app``."""
        app.router.add_get('/healthz', self.report_health)
        app.router.add_get('/readyz', self.report_readiness)

    async def report_health(self, request: web.Request) -> web.Response:
        """Answer 200: the process runs."""
        return web.Response(text='ok\n')

    async def report_readiness(self, request: web.Request) -> web.Response:
        """Answer 200 if calls can be served, else 503 with the reason."""
        if self._lifecycle.is_draining:
            return _answer_unready('draining\n')
        if not self._active.generation:
            return _answer_unready('no configuration yet\n')
        if not self._watcher.index.by_name:
            return _answer_unready('no list of vms yet\n')
        return web.Response(text='ready\n')


class ConnectionCloser:
    """Close each connection after its answer while the gateway drains.

    Parameters
    ----------
    lifecycle : Lifecycle
        Whether this gateway is draining.
    """

    __slots__ = ('_lifecycle',)

    def __init__(self, lifecycle: Lifecycle) -> None:
        """Store the lifecycle."""
        self._lifecycle = lifecycle

    def add_to(self, app: web.Application) -> None:
        """Have `announce_close` called before each response of ``app``."""
        app.on_response_prepare.append(self.announce_close)

    async def announce_close(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Set ``Connection: close`` if the gateway drains."""
        if self._lifecycle.is_draining:
            response.headers['Connection'] = 'close'
            response.force_close()


def _answer_unready(reason: str) -> web.Response:
    return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=reason)
