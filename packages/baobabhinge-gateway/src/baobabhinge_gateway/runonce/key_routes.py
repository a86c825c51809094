"""Paths by which callers take keys and ask for outcomes."""

from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_coordination.runonce import (
    KeysExhaustedError,
    MalformedKeyError,
    RunOnceKey,
    decode_key,
    encode_key,
)
from baobabhinge_gateway.calls.bodies import read_body
from baobabhinge_gateway.errors import (
    BadKeyError,
    KeysUnavailableError,
    MalformedCallError,
    OutcomeUnknownError,
)
from baobabhinge_gateway.runonce.service import RunOnceService

KEYS_PATH = '/v1/keys'
MAX_COUNT = 100
SECOND = timedelta(seconds=1)
JSON_TYPE = 'application/json'


class KeyRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/keys``."""

    count: int = 1


class KeyBatch(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/keys``.

    Parameters
    ----------
    keys : list of str
        New keys.
    ttl_seconds : int
        Time for which they can be used, in seconds.
    witnessed : bool
        Whether a second gateway can vouch for them.
    """

    keys: list[str]
    ttl_seconds: int
    witnessed: bool


class KeyRoutes:
    """Handlers of the key paths.

    Parameters
    ----------
    run_once : RunOnceService
        Mint, and ways to owners and witnesses.
    region : str
        Region of this gateway; outcomes of others stay there.
    """

    __slots__ = ('_region', '_run_once')

    def __init__(self, run_once: RunOnceService, region: str) -> None:
        """Keep the parts."""
        self._run_once = run_once
        self._region = region

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        app.router.add_post(KEYS_PATH, self.mint)
        app.router.add_get(f'{KEYS_PATH}/{{key}}', self.report)
        app.router.add_delete(f'{KEYS_PATH}/{{key}}', self.close)

    async def mint(self, request: web.Request) -> web.Response:
        """Answer with a batch of keys."""
        order = _read_order(await read_body(request))
        mint = self._run_once.key_state.mint
        try:
            keys = mint.mint(order.count)
        except KeysExhaustedError as full:
            raise KeysUnavailableError(str(full)) from full
        batch = KeyBatch(
            [encode_key(key) for key in keys],
            self._run_once.key_state.retention.key_age // SECOND,
            mint.witness is not None,
        )
        return _render(batch)

    async def report(self, request: web.Request) -> web.Response:
        """Answer with what is known, and change nothing."""
        key = self._read_key(request)
        return _render(await self._run_once.resolver.look_up(key))

    async def close(self, request: web.Request) -> web.Response:
        """Answer with the outcome; a key that was not used is closed."""
        key = self._read_key(request)
        return _render(await self._run_once.resolver.close(key))

    def _read_key(self, request: web.Request) -> RunOnceKey:
        try:
            key = decode_key(request.match_info['key'])
        except MalformedKeyError as bad:
            raise BadKeyError(str(bad)) from bad
        if key.region != self._region:
            raise OutcomeUnknownError(f'ask a gateway of {key.region}')
        return key


def _render(message: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(message),
        content_type=JSON_TYPE,
    )


def _read_order(body: bytes) -> KeyRequest:
    try:
        order = msgspec.json.decode(body or b'{}', type=KeyRequest)
    except msgspec.MsgspecError as bad:
        raise MalformedCallError(f'the body is malformed: {bad}') from bad
    except RecursionError as deep:
        raise MalformedCallError('the body is nested too deep') from deep
    if 1 <= order.count <= MAX_COUNT:
        return order
    raise MalformedCallError(f'count is from 1 to {MAX_COUNT}')
