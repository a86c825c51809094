"""Calls to a key-value service with the Consul HTTP interface.

References
----------
Consul HTTP API, ``/v1/kv`` and ``/v1/session``.
"""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from http import HTTPStatus

import aiohttp
import msgspec

from baobabhinge_coordination.store import (
    StoreAnswerLostError,
    StoreThrottledError,
    StoreUnavailableError,
)

WRITE_METHOD = 'PUT'
DEFAULT_ROLE = 'other'
CALL_TIMEOUT = timedelta(seconds=2)


class ConsulRequest(msgspec.Struct, frozen=True):
    """One call.

    Parameters
    ----------
    method, path : str
        HTTP method, and path below ``/v1/``.
    query : dict of str to str
        Query of the address.
    body : bytes
        Body of the request.
    timeout : timedelta
        Longest wait for the whole answer.
    """

    method: str
    path: str
    query: dict[str, str] = {}
    body: bytes = b''
    timeout: timedelta = CALL_TIMEOUT


class ConsulTransport:
    """Send calls, count them and type their failures.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    address : str
        Base address of the service.
    role : str, optional
        For what the calls are made; they are counted under it.

    Attributes
    ----------
    calls : Counter
        Calls made so far by role, a waiting watch as one.
    """

    __slots__ = ('_address', '_http', '_role', 'calls')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        address: str,
        role: str = DEFAULT_ROLE,
    ) -> None:
        """Keep the session; no call is made."""
        self._http = http
        self._address = address
        self._role = role
        self.calls: Counter[str] = Counter()

    def with_role(self, role: str) -> 'ConsulTransport':
        """Return a transport of another role that counts into this one."""
        transport = ConsulTransport(self._http, self._address, role)
        transport.calls = self.calls
        return transport

    @asynccontextmanager
    async def open(
        self,
        call: ConsulRequest,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Yield the answer of ``call``.

        Raises
        ------
        StoreUnavailableError
            If the call had no effect.
        StoreAnswerLostError
            If it may have had one.
        """
        self.calls[self._role] += 1
        limit = aiohttp.ClientTimeout(total=call.timeout.total_seconds())
        try:
            async with self._http.request(
                call.method,
                f'{self._address}/v1/{call.path}',
                params=call.query,
                data=call.body,
                timeout=limit,
            ) as answer:
                _raise_for_status(answer.status)
                yield answer
        except aiohttp.ClientConnectorError as refused:
            raise StoreUnavailableError(
                f'no connection to {self._address}',
            ) from refused
        except (aiohttp.ClientError, TimeoutError) as lost:
            raise StoreAnswerLostError(
                f'no whole answer from {self._address}',
            ) from lost

    async def send_write(self, call: ConsulRequest) -> bool:
        """Send a write and return whether it was accepted."""
        async with self.open(call) as answer:
            return msgspec.json.decode(await answer.read(), type=bool)


def _raise_for_status(status: int) -> None:
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise StoreThrottledError('the key-value service limits our rate')
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise StoreAnswerLostError(f'the key-value service answered {status}')
