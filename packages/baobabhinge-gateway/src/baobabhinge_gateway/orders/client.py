"""Reading engines and sending them orders over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from http import HTTPStatus

import aiohttp
import msgspec

from baobabhinge_gateway.orders.messages import (
    EngineModel,
    EngineOrder,
    EngineState,
    OrderDeferredError,
    OrderError,
    StaleOrderError,
)
from baobabhinge_platform.machines import Vm

ORDER_TIMEOUT = timedelta(seconds=2)
DEFAULT_RETRY_AFTER = timedelta(seconds=5)
DEFERRING_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)


class _Models(msgspec.Struct):
    models: list[EngineModel] = []


class EngineClient:
    """Speak to model engines.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    """

    __slots__ = ('_http',)

    def __init__(self, http: aiohttp.ClientSession) -> None:
        """Keep the session; nothing is sent."""
        self._http = http

    async def read_state(self, vm: Vm) -> EngineState:
        """Return what the engine on ``vm`` has loaded.

        Raises
        ------
        OrderError
            If it can't be read.
        """
        async with self._open('GET', vm, '/v1/models') as answer:
            body = await answer.read()
        try:
            listed = msgspec.json.decode(body, type=_Models)
        except msgspec.MsgspecError as bad:
            raise OrderError(f'{vm.name} reports no models') from bad
        return EngineState(vm, frozenset(listed.models))

    async def send(self, vm: Vm, order: EngineOrder) -> None:
        """Send one order.

        Raises
        ------
        StaleOrderError
            If the engine has seen a higher fencing number.
        OrderDeferredError
            If it takes orders again later.
        OrderError
            If it could not be reached or refuses for another reason.
        """
        body = msgspec.json.encode(order)
        async with self._open('PUT', vm, '/v1/orders', body):
            return

    @asynccontextmanager
    async def _open(
        self,
        method: str,
        vm: Vm,
        path: str,
        body: bytes = b'',
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        limit = aiohttp.ClientTimeout(total=ORDER_TIMEOUT.total_seconds())
        url = f'http://{vm.address}{path}'
        try:
            async with self._http.request(
                method,
                url,
                data=body,
                timeout=limit,
            ) as answer:
                _check(answer)
                yield answer
        except (aiohttp.ClientError, TimeoutError) as bad:
            raise OrderError(f'{vm.name} could not be reached') from bad


def _check(answer: aiohttp.ClientResponse) -> None:
    if answer.status == HTTPStatus.CONFLICT:
        raise StaleOrderError('the engine has seen a higher fencing number')
    if answer.status in DEFERRING_STATUSES:
        raise OrderDeferredError(_read_retry_after(answer))
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise OrderError(f'the engine answered {answer.status}')


def _read_retry_after(answer: aiohttp.ClientResponse) -> timedelta:
    text = answer.headers.get('Retry-After', '')
    if text.isdecimal():
        return timedelta(seconds=int(text))
    return DEFAULT_RETRY_AFTER
