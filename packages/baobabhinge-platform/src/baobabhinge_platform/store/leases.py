"""Leases, as sessions of the key-value service."""

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
    """Leases of the key-value service.

    Parameters
    ----------
    transport : ConsulTransport
        Sender of calls.
    """

    __slots__ = ('_transport',)

    def __init__(self, transport: ConsulTransport) -> None:
        """Keep the transport; no call is made."""
        self._transport = transport

    async def grant(self, time_to_live: timedelta) -> str:
        """Create a session that lapses after ``time_to_live``."""
        seconds = time_to_live.total_seconds()
        order = msgspec.json.encode(_SessionRequest(f'{seconds}s'))
        call = ConsulRequest(WRITE_METHOD, 'session/create', body=order)
        async with self._transport.open(call) as answer:
            row = msgspec.json.decode(await answer.read(), type=_SessionAnswer)
        return row.session

    async def renew(self, session: str) -> bool:
        """Renew a session; ``False`` means that it has lapsed."""
        call = ConsulRequest(WRITE_METHOD, f'session/renew/{session}')
        async with self._transport.open(call) as answer:
            return answer.status == HTTPStatus.OK

    async def acquire(self, key: str, body: bytes, session: str) -> bool:
        """Take ``key`` under a session."""
        query = {'acquire': session}
        return await self._transport.send_write(
            ConsulRequest(WRITE_METHOD, f'kv/{key}', query, body),
        )

    async def release(self, key: str, session: str) -> None:
        """Give ``key`` back."""
        query = {'release': session}
        await self._transport.send_write(
            ConsulRequest(WRITE_METHOD, f'kv/{key}', query)
        )
