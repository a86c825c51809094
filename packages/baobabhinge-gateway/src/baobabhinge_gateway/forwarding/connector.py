"""Outgoing connections that are not reused after anything unexpected."""

import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.helpers import set_exception

from baobabhinge_gateway.forwarding.sockets import enable_dead_peer_detection
from baobabhinge_platform.sessions import send_once

# Backend servers close idle connections and say after how long; this stays
# below the shortest time that they tell.
IDLE_REUSE_SECONDS = 4.0


class StrictResponseHandler(ResponseHandler):
    """Connection that tells a reset from the end of an answer.

    aiohttp takes a reset as the end of an answer without a length.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break an unfinished answer if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, aiohttp.ClientPayloadError('reset'), exc)
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Pool that drops idle connections on which bytes arrived."""

    def __init__(self, **kwargs: Any) -> None:
        """Take the parameters of `aiohttp.TCPConnector`."""
        super().__init__(
            limit=0,
            keepalive_timeout=IDLE_REUSE_SECONDS,
            socket_factory=_open_socket,
            **kwargs,
        )
        self._factory = self._build_handler  # type: ignore[assignment]

    async def _get(self, key: ConnectionKey, traces: Any) -> Connection | None:
        for protocol, _since in tuple(self._conns.get(key, ())):
            if protocol.should_close:
                protocol.close()
        return await super()._get(key, traces)

    def _build_handler(self) -> StrictResponseHandler:
        return StrictResponseHandler(loop=self._loop)


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol = address[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    enable_dead_peer_detection(opened)
    return opened


def build_strict_session() -> aiohttp.ClientSession:
    """Return the session of forwarded calls; its owner closes it."""
    return aiohttp.ClientSession(
        auto_decompress=False,
        connector=StrictConnector(),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once,),
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'Content-Type',
            'User-Agent',
        ),
    )
