"""HTTP paths of sessions."""

from datetime import timedelta

from aiohttp import web

from baobabhinge_standins.keyvalue.sessions import Sessions


class SessionRoutes:
    """Handlers that open and renew sessions.

    Parameters
    ----------
    sessions : Sessions
        Sessions of the stand-in.
    """

    __slots__ = ('_sessions',)

    def __init__(self, sessions: Sessions) -> None:
        """Keep the sessions."""
        self._sessions = sessions

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        app.router.add_put('/v1/session/create', self._open)
        app.router.add_put('/v1/session/renew/{id}', self._renew)

    async def _open(self, request: web.Request) -> web.Response:
        order = await request.json()
        ttl = timedelta(seconds=parse_seconds(order['TTL']))
        return web.json_response({'ID': self._sessions.open(ttl)})

    async def _renew(self, request: web.Request) -> web.Response:
        if not self._sessions.renew(request.match_info['id']):
            raise web.HTTPNotFound
        return web.json_response([])


def parse_seconds(text: str) -> float:
    """Return the number of seconds of a duration such as ``10s``."""
    return float(text.removesuffix('s'))
