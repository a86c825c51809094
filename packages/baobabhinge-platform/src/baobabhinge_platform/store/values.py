"""Values of the key-value service: reads, watches, compare-and-swap."""

import base64
from datetime import timedelta
from http import HTTPStatus

import msgspec

from baobabhinge_coordination.store import StoredValue
from baobabhinge_platform.store.transport import (
    WRITE_METHOD,
    ConsulRequest,
    ConsulTransport,
)

# Time for the answer to a watch of an unchanged key, which the service sends
# only when the requested wait has passed.
WATCH_TIMEOUT_MARGIN = timedelta(seconds=2)
ABSENT_BODY = b''


class _KeyRow(msgspec.Struct, rename='pascal'):
    key: str
    modify_index: int
    encoded: str | None = msgspec.field(default=None, name='Value')
    session: str | None = None


class ConsulStore:
    """Client for values of the key-value service.

    Parameters
    ----------
    transport : ConsulTransport
        Sends the requests.
    """

    __slots__ = ('_transport',)

    def __init__(self, transport: ConsulTransport) -> None:
        """Store the transport; no request is sent."""
        self._transport = transport

    async def read(self, key: str) -> StoredValue:
        """Return the value of ``key``, with revision 0 if it is absent."""
        return await self._read_key(key, ConsulRequest('GET', f'kv/{key}'))

    async def watch(
        self,
        key: str,
        after: int,
        max_wait: timedelta,
    ) -> StoredValue:
        """Wait in one request for a revision of ``key`` above ``after``."""
        seconds = int(max_wait.total_seconds())
        request = ConsulRequest(
            'GET',
            f'kv/{key}',
            {'index': str(after), 'wait': f'{seconds}s'},
            timeout=max_wait + WATCH_TIMEOUT_MARGIN,
        )
        return await self._read_key(key, request)

    async def swap(self, key: str, body: bytes, expected: int) -> bool:
        """Write ``body`` if the revision is ``expected``.

        Returns
        -------
        bool
            Whether the revision was ``expected``.
        """
        query = {'cas': str(expected)}
        return await self._transport.send_write(
            ConsulRequest(WRITE_METHOD, f'kv/{key}', query, body),
        )

    async def delete(self, key: str, expected: int) -> bool:
        """Delete ``key`` if the revision is ``expected``.

        Returns
        -------
        bool
            Whether the revision was ``expected``.
        """
        query = {'cas': str(expected)}
        return await self._transport.send_write(
            ConsulRequest('DELETE', f'kv/{key}', query),
        )

    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, in the order sent."""
        request = ConsulRequest('GET', f'kv/{prefix}', {'keys': ''})
        async with self._transport.open(request) as answer:
            if answer.status == HTTPStatus.NOT_FOUND:
                return []
            return msgspec.json.decode(await answer.read(), type=list[str])

    async def _read_key(self, key: str, request: ConsulRequest) -> StoredValue:
        async with self._transport.open(request) as answer:
            if answer.status == HTTPStatus.NOT_FOUND:
                return StoredValue(key, ABSENT_BODY, 0)
            rows = msgspec.json.decode(
                await answer.read(),
                type=list[_KeyRow],
            )
        return _convert_row(rows[0])


def _convert_row(row: _KeyRow) -> StoredValue:
    body = base64.b64decode(row.encoded or '')
    return StoredValue(row.key, body, row.modify_index, row.session)
