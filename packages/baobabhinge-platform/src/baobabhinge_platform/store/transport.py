"""Requests to a key-value service with the Consul HTTP interface.

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
    """Request to the key-value service.

    Parameters
    ----------
    method, path : str
        HTTP method, and path below ``/v1/``.
    query : dict of str to str
        Query parameters.
    body : bytes
        Body of the request.
    timeout : timedelta
        Bound on the wait for the complete answer.
    """

    method: str
    path: str
    query: dict[str, str] = {}
    body: bytes = b''
    timeout: timedelta = CALL_TIMEOUT


class ConsulTransport:
    """Send requests, count them and convert failures to store errors.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    address : str
        Base address of the service.
    role : str, optional
        Purpose of the requests, under which they are counted.

    Attributes
    ----------
    calls : Counter
        Requests sent so far by role; a watch counts once.
    """

    __slots__ = ('_address', '_http', '_role', 'calls')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        address: str,
        role: str = DEFAULT_ROLE,
    ) -> None:
        """Store the session; no request is sent."""
        self._http = http
        self._address = address
        self._role = role
        self.calls: Counter[str] = Counter()

    def with_role(self, role: str) -> 'ConsulTransport':
        """Return a transport for another role that shares the counter."""
        transport = ConsulTransport(self._http, self._address, role)
        transport.calls = self.calls
        return transport

    @asynccontextmanager
    async def open(
        self,
        request: ConsulRequest,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield the answer.

        Raises
        ------
        StoreUnavailableError
            If the request had no effect.
        StoreAnswerLostError
            If the request may have had an effect.
        """
        self.calls[self._role] += 1
        timeout = aiohttp.ClientTimeout(total=request.timeout.total_seconds())
        try:
            async with self._http.request(
                request.method,
                f'{self._address}/v1/{request.path}',
                params=request.query,
                data=request.body,
                timeout=timeout,
            ) as answer:
                _raise_for_status(answer.status)
                yield answer
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(
                f'no connection to {self._address}',
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreAnswerLostError(
                f'no complete answer from {self._address}',
            ) from error

    async def send_write(self, request: ConsulRequest) -> bool:
        """Send a write and return whether it was accepted."""
        async with self.open(request) as answer:
            return msgspec.json.decode(await answer.read(), type=bool)


def _raise_for_status(status: int) -> None:
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise StoreThrottledError(
            'the key-value service refuses requests above its rate limit'
        )
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise StoreAnswerLostError(
            f'the key-value service answered with status {status}'
        )
