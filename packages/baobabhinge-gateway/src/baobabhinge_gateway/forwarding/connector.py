"""Client session that reuses connections only after complete answers."""

import socket
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.helpers import set_exception
from yarl import URL

from baobabhinge_gateway.connections.limits import (
    ANSWER_BUFFER_BYTES,
    ANSWER_READ_BYTES,
)
from baobabhinge_gateway.forwarding.pending_requests import begin_request
from baobabhinge_gateway.forwarding.sockets import enable_dead_peer_detection
from baobabhinge_platform.answers import (
    BoundedConnector,
    BoundedResponse,
    BoundedResponseHandler,
)
from baobabhinge_platform.sessions import send_once

# Backend servers announce after how long they close idle connections; this is
# below the shortest time announced.
IDLE_REUSE_SECONDS = 4.0


class StrictResponseHandler(BoundedResponseHandler):
    """Connection that does not take a reset for the end of an answer.

    aiohttp accepts a reset as the end of an answer without a length.
    """

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        aiohttp resumes after each chunk that is read, and parses no bytes then.
        """
        if self._reading_paused or self._buffer_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an incomplete answer if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(
                payload, aiohttp.ClientPayloadError('connection reset'), exc
            )
        super().connection_lost(exc)


class StrictConnector(BoundedConnector):
    """Connection pool that drops idle connections on which bytes arrived.

    Once a request has a connection, its check decides whether it is still to be
    sent: connecting may have taken long.
    """

    def __init__(self, **kwargs: Any) -> None:
        """Create a pool with keep-alive and dead peer detection.

        Parameters
        ----------
        kwargs
            Further parameters of `aiohttp.TCPConnector`.
        """
        super().__init__(
            keepalive_timeout=IDLE_REUSE_SECONDS,
            socket_factory=_open_socket,
            **kwargs,
        )

    def build_handler(self) -> StrictResponseHandler:
        """Return the protocol of a new connection."""
        return StrictResponseHandler(loop=self._loop)

    def close_idle(self, url: str) -> None:
        """Close the idle connections to the host and port of ``url``."""
        origin = URL(url)
        for key in tuple(self._conns):
            if (key.host, key.port) == (origin.host, origin.port):
                for protocol, _since in self._conns.pop(key):
                    protocol.close()

    async def connect(self, *details: Any, **options: Any) -> Connection:
        """Return a connection for a request that is to be sent now.

        If it is not, the connection can be used for others.
        """
        connection = await super().connect(*details, **options)
        begin_request(connection)
        return connection

    async def _get(self, key: ConnectionKey, traces: Any) -> Connection | None:
        for protocol, _since in tuple(self._conns.get(key, ())):
            if protocol.should_close:
                protocol.close()
        return await super()._get(key, traces)


def close_idle_connections(http: aiohttp.ClientSession, address: str) -> None:
    """Close the idle connections of a session to ``host:port``.

    On one of them, a second copy of the latest answer may follow.
    """
    connector = http.connector
    if isinstance(connector, StrictConnector):
        connector.close_idle(f'http://{address}')


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol = address[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ANSWER_BUFFER_BYTES)
    enable_dead_peer_detection(opened)
    return opened


def build_strict_session() -> aiohttp.ClientSession:
    """Return a session that passes calls and answers on unchanged.

    It decompresses nothing, stores no cookies, adds none of the default
    headers of aiohttp and sends no request twice. It is not closed here.
    """
    return aiohttp.ClientSession(
        auto_decompress=False,
        connector=StrictConnector(),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once,),
        read_bufsize=ANSWER_READ_BYTES,
        response_class=BoundedResponse,
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'Content-Type',
            'User-Agent',
        ),
    )
