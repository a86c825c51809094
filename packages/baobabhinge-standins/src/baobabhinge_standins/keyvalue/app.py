"""HTTP face of the stand-in, with the Consul interface."""

import asyncio
import base64
from collections.abc import Mapping
from contextlib import suppress

from aiohttp import web

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.keyvalue.faults import FaultSwitch
from baobabhinge_standins.keyvalue.rows import Row
from baobabhinge_standins.keyvalue.sessionroutes import (
    SessionRoutes,
    parse_seconds,
)
from baobabhinge_standins.keyvalue.sessions import Sessions
from baobabhinge_standins.keyvalue.table import Table

DEFAULT_WAIT = '10s'
MAX_BODY_BYTES = 1 << 20
KEY_PATH = '/v1/kv/{key:.+}'


class KeyValueApp:
    """Handlers around one table."""

    __slots__ = ('_sessions', '_table')

    def __init__(self) -> None:
        """Start with an empty table."""
        self._sessions = Sessions(SystemClock())
        self._table = Table(self._sessions)

    def build(self) -> web.Application:
        """Return the application with its routes."""
        faults = FaultSwitch(SystemClock())
        app = web.Application(
            middlewares=[faults.build_middleware()],
            client_max_size=MAX_BODY_BYTES,
        )
        faults.add_routes(app)
        SessionRoutes(self._sessions).add_to(app)
        app.router.add_get(KEY_PATH, self._read)
        app.router.add_put(KEY_PATH, self._write)
        app.router.add_delete(KEY_PATH, self._delete)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        if 'keys' in request.query:
            return _render_keys(self._table.rows.list_keys(key))
        after = int(request.query.get('index', '0'))
        if after:
            wait = parse_seconds(request.query.get('wait', DEFAULT_WAIT))
            with suppress(TimeoutError):
                await asyncio.wait_for(self._pass(key, after), wait)
        row = self._table.find(key)
        if row is None:
            raise web.HTTPNotFound
        return web.json_response([_render(key, row)])

    async def _pass(self, key: str, after: int) -> None:
        async with self._table.changed:
            await self._table.changed.wait_for(
                lambda: self._table.revision_of(key) > after,
            )

    async def _write(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        body = await request.read()
        done = self._apply(key, body, request.query)
        async with self._table.changed:
            self._table.changed.notify_all()
        return web.json_response(done)

    async def _delete(self, request: web.Request) -> web.Response:
        done = self._table.delete(
            request.match_info['key'],
            int(request.query['cas']),
        )
        async with self._table.changed:
            self._table.changed.notify_all()
        return web.json_response(done)

    def _apply(self, key: str, body: bytes, query: Mapping[str, str]) -> bool:
        taker = query.get('acquire')
        if taker is not None:
            return self._table.acquire(key, body, taker)
        giver = query.get('release')
        if giver is not None:
            return self._table.release(key, giver)
        cas = query.get('cas')
        return self._table.swap(key, body, int(cas) if cas else None)


def _render_keys(keys: list[str]) -> web.Response:
    if not keys:
        raise web.HTTPNotFound
    return web.json_response(keys)


def _render(key: str, row: Row) -> dict[str, object]:
    rendered: dict[str, object] = {
        'Key': key,
        'ModifyIndex': row.revision,
        'Value': base64.b64encode(row.body).decode(),
    }
    if row.session:
        rendered['Session'] = row.session
    return rendered
