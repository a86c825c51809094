"""HTTP paths by which callers get keys and ask for outcomes."""

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
MAX_KEYS_PER_REQUEST = 100
SECOND = timedelta(seconds=1)
JSON_TYPE = 'application/json'


class KeyRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/keys``: how many keys the caller wants."""

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
        Whether the keys name a witness, which can report outcomes when the
        owner can't.
    """

    keys: list[str]
    ttl_seconds: int
    witnessed: bool


class KeyRoutes:
    """Handlers of the paths below ``/v1/keys``.

    Parameters
    ----------
    run_once : RunOnceService
        Makes keys and asks owners and witnesses.
    region : str
        Region of this gateway. Outcomes of keys of another region are not
        reported here, as they may not leave that region.
    """

    __slots__ = ('_region', '_run_once')

    def __init__(self, run_once: RunOnceService, region: str) -> None:
        """Store the collaborators."""
        self._run_once = run_once
        self._region = region

    def add_to(self, app: web.Application) -> None:
        """Register the handlers with ``app``."""
        app.router.add_post(KEYS_PATH, self.mint)
        app.router.add_get(f'{KEYS_PATH}/{{key}}', self.report)
        app.router.add_delete(f'{KEYS_PATH}/{{key}}', self.close)

    async def mint(self, request: web.Request) -> web.Response:
        """Return a batch of new keys."""
        key_request = _read_key_request(await read_body(request))
        mint = self._run_once.key_state.mint
        try:
            keys = mint.mint(key_request.count)
        except KeysExhaustedError as error:
            raise KeysUnavailableError(str(error)) from error
        batch = KeyBatch(
            [encode_key(key) for key in keys],
            self._run_once.key_state.retention.key_age // SECOND,
            mint.witness is not None,
        )
        return _render(batch)

    async def report(self, request: web.Request) -> web.Response:
        """Return the known outcome of a key without closing the key."""
        key = self._read_key(request)
        return _render(await self._run_once.resolver.look_up(key))

    async def close(self, request: web.Request) -> web.Response:
        """Return the outcome of a key after closing it if it was not used."""
        key = self._read_key(request)
        return _render(await self._run_once.resolver.close(key))

    def _read_key(self, request: web.Request) -> RunOnceKey:
        try:
            key = decode_key(request.match_info['key'])
        except MalformedKeyError as error:
            raise BadKeyError(str(error)) from error
        if key.region != self._region:
            raise OutcomeUnknownError(
                f'the key is of another region: ask a gateway of {key.region}'
            )
        return key


def _render(message: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(message),
        content_type=JSON_TYPE,
    )


def _read_key_request(body: bytes) -> KeyRequest:
    try:
        key_request = msgspec.json.decode(body or b'{}', type=KeyRequest)
    except msgspec.MsgspecError as error:
        raise MalformedCallError(
            f'the request body is malformed: {error}'
        ) from error
    except RecursionError as error:
        raise MalformedCallError(
            'the request body is nested too deeply'
        ) from error
    if 1 <= key_request.count <= MAX_KEYS_PER_REQUEST:
        return key_request
    raise MalformedCallError(f'count must be from 1 to {MAX_KEYS_PER_REQUEST}')
