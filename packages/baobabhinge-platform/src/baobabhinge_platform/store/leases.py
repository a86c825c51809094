"""Leases, which are sessions of the key-value service."""

from datetime import timedelta
from http import HTTPStatus

import msgspec

from baobabhinge_platform.store.transport import (
    WRITE_METHOD,
    ConsulRequest,
    ConsulTransport,
)


class _SessionRequest(msgspec.Struct, rename='pascal'):
    time_to_live: str = msgspec.field(name='TTL')
    behavior: str = 'release'


class _SessionAnswer(msgspec.Struct):
    session: str = msgspec.field(name='ID')


class ConsulLeases:
    """Client for leases of the key-value service.

    Parameters
    ----------
    transport : ConsulTransport
        Sends the requests.
    """

    __slots__ = ('_transport',)

    def __init__(self, transport: ConsulTransport) -> None:
        """Store the transport; no request is sent."""
        self._transport = transport

    async def grant(self, time_to_live: timedelta) -> str:
        """Create a session that expires after ``time_to_live``."""
        seconds = time_to_live.total_seconds()
        body = msgspec.json.encode(_SessionRequest(f'{seconds}s'))
        request = ConsulRequest(WRITE_METHOD, 'session/create', body=body)
        async with self._transport.open(request) as answer:
            created = msgspec.json.decode(
                await answer.read(), type=_SessionAnswer
            )
        return created.session

    async def renew(self, session: str) -> bool:
        """Renew a session; return ``False`` if it has expired."""
        request = ConsulRequest(WRITE_METHOD, f'session/renew/{session}')
        async with self._transport.open(request) as answer:
            return answer.status == HTTPStatus.OK

    async def acquire(self, key: str, body: bytes, session: str) -> bool:
        """Acquire ``key`` for a session; return whether it was acquired."""
        query = {'acquire': session}
        return await self._transport.send_write(
            ConsulRequest(WRITE_METHOD, f'kv/{key}', query, body),
        )

    async def release(self, key: str, session: str) -> None:
        """Release ``key``, which the session holds."""
        query = {'release': session}
        await self._transport.send_write(
            ConsulRequest(WRITE_METHOD, f'kv/{key}', query)
        )
