"""Stand-in of the platform's metadata store."""

import asyncio
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import msgspec
from aiohttp import web

from baobabhinge_standins.host.storefaults import StoreFault, build_faults
from baobabhinge_standins.host.table import StoreTable, encode_text
from baobabhinge_standins.host.transactions import find_conflict

PAGE = 50
POLL_SECONDS = 0.01
MILLISECONDS = 1000

Page = dict[str, Any]
PageHandler = Callable[[str, Page], Page | None]


def pass_page(prefix: str, page: Page) -> Page:
    """Return the page of a list as it is."""
    return page


class HostStore:
    """Store with the interface of the platform.

    Attributes
    ----------
    table : StoreTable
        What it holds.
    fault : StoreFault
        How it fails now.
    calls : list of str
        Paths that were called.
    on_page : callable
        Called with the prefix and the answer of each page of a list before it
        is sent; returns what is sent, or ``None`` for an answer without
        history.
    """

    def __init__(self) -> None:
        """Hold nothing and fail at nothing."""
        self.table = StoreTable()
        self.fault = StoreFault.none
        self.calls: list[str] = []
        self.on_page: PageHandler = pass_page
        self._leases = 0

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(middlewares=[build_faults(self)])
        app.router.add_get('/baobabhinge/kv-range', self._answer_range)
        app.router.add_get('/baobabhinge/kv-watch', self._answer_watch)
        app.router.add_post('/baobabhinge/kv-txn', self._answer_change)
        app.router.add_post('/baobabhinge/kv-lease', self._answer_lease)
        app.router.add_post('/baobabhinge/kv-keep/{lease}', self._answer_lease)
        return app

    def put(self, key: str, text: Mapping[str, Any]) -> None:
        """Write one key as JSON, as the operator or a server does."""
        self.table.write(key, encode_text(msgspec.json.encode(text)))

    async def _answer_range(self, request: web.Request) -> web.Response:
        prefix = request.query['path-prefix']
        after = request.query.get('after', '')
        rows = [row for row in self.table.list_rows(prefix) if row.key > after]
        page = {
            'items': [row.render() for row in rows[:PAGE]],
            'more-pages': len(rows) > PAGE,
            'as-of': self.table.revision,
        }
        sent = self.on_page(prefix, page)
        if sent is None:
            return web.Response(status=HTTPStatus.GONE)
        return web.json_response(sent)

    async def _answer_watch(self, request: web.Request) -> web.Response:
        prefix = request.query['path-prefix']
        after = int(request.query['after'])
        patience = int(request.query['wait-ms']) / MILLISECONDS
        for _ in range(int(patience / POLL_SECONDS) + 1):
            if after < self.table.oldest:
                return web.Response(status=HTTPStatus.GONE)
            changes = self.table.list_changes(prefix, after)
            if changes:
                break
            await asyncio.sleep(POLL_SECONDS)
        return web.json_response(
            {
                'events': [row.render() for row in changes],
                'as-of': self.table.revision,
            },
        )

    async def _answer_change(self, request: web.Request) -> web.Response:
        change = await request.json()
        conflict = find_conflict(self.table, change)
        if conflict is not None:
            return conflict
        for row in change['writes']:
            self.table.write(row['key'], row['value'], row['lease'])
        for key in change['remove']:
            self.table.remove(key)
        return web.json_response({'revision': self.table.revision})

    async def _answer_lease(self, request: web.Request) -> web.Response:
        lease = request.match_info.get('lease')
        if lease is None:
            self._leases += 1
            wanted = await request.json()
            return web.json_response({'lease': self._leases, **wanted})
        if int(lease) > self._leases:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if int(lease) in self.table.ended:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.json_response({'ttl-ms': MILLISECONDS})
