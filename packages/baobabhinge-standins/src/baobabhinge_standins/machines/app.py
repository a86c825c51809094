"""Both lists as documents that a launcher writes and gateways read."""

from aiohttp import web

JSON = 'application/json'


class DocumentApp:
    """Documents by path; a PUT replaces one, a GET returns it."""

    __slots__ = ('_documents',)

    def __init__(self) -> None:
        """Start without documents."""
        self._documents: dict[str, bytes] = {}

    def build(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get('/{path:.+}', self._read)
        app.router.add_put('/{path:.+}', self._write)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        document = self._documents.get(request.path)
        if document is None:
            raise web.HTTPNotFound
        return web.Response(body=document, content_type=JSON)

    async def _write(self, request: web.Request) -> web.Response:
        self._documents[request.path] = await request.read()
        return web.Response()
