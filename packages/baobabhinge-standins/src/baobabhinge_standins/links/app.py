"""HTTP interface by which a test controls the links."""

import asyncio
from collections.abc import Sequence

import msgspec
from aiohttp import web

from baobabhinge_standins.links.messages import (
    HEALTHY,
    FaultOrder,
    LinkOrder,
    OpenedLink,
)
from baobabhinge_standins.links.table import LinkTable

LINKS_PATH = '/links'


class LinkApp:
    """Handlers around one table of links."""

    __slots__ = ('_table',)

    def __init__(self) -> None:
        """Start without links."""
        self._table = LinkTable()

    def build(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_post(LINKS_PATH, self._open)
        app.router.add_get(LINKS_PATH, self._count)
        app.router.add_put('/faults', self._set_fault)
        app.router.add_post('/resets', self._reset)
        return app

    async def _open(self, request: web.Request) -> web.Response:
        body = await request.read()
        orders = msgspec.json.decode(body, type=list[LinkOrder])
        return _answer(
            await asyncio.gather(*(self._open_one(order) for order in orders)),
        )

    async def _open_one(self, order: LinkOrder) -> OpenedLink:
        link = self._table.add(order)
        await link.apply(HEALTHY)
        return OpenedLink(order.name, link.gate.port)

    async def _count(self, request: web.Request) -> web.Response:
        return _answer([link.count() for link in self._table.find()])

    async def _set_fault(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=FaultOrder)
        links = self._table.find(order.names)
        await asyncio.gather(*(link.apply(order.fault) for link in links))
        return web.Response()

    async def _reset(self, request: web.Request) -> web.Response:
        names = msgspec.json.decode(await request.read(), type=list[str])
        for link in self._table.find(names):
            link.reset()
        return web.Response()


def _answer(rows: Sequence[msgspec.Struct]) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(rows),
        content_type='application/json',
    )
