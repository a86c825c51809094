"""Leases, as sessions of the key-value service."""

from datetime import timedelta
from http import HTTPStatus

import msgspec

from baobabhinge_platform.store.transport import (
    WRITE,
    ConsulTransport,
    StoreCall,
)


class _SessionOrder(msgspec.Struct, rename='pascal'):
    time_to_live: str = msgspec.field(name='TTL')
    behavior: str = 'release'


class _SessionRow(msgspec.Struct):
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
        order = msgspec.json.encode(_SessionOrder(f'{seconds}s'))
        call = StoreCall(WRITE, 'session/create', body=order)
        async with self._transport.open(call) as answer:
            row = msgspec.json.decode(await answer.read(), type=_SessionRow)
        return row.session

    async def renew(self, session: str) -> bool:
        """Renew a session; ``False`` means that it has lapsed."""
        call = StoreCall(WRITE, f'session/renew/{session}')
        async with self._transport.open(call) as answer:
            return answer.status == HTTPStatus.OK

    async def acquire(self, key: str, body: bytes, session: str) -> bool:
        """Take ``key`` under a session."""
        query = {'acquire': session}
        return await self._transport.put_flag(
            StoreCall(WRITE, f'kv/{key}', query, body),
        )

    async def release(self, key: str, session: str) -> None:
        """Give ``key`` back."""
        query = {'release': session}
        await self._transport.put_flag(StoreCall(WRITE, f'kv/{key}', query))
