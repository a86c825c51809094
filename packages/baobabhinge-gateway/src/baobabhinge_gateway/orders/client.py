"""HTTP client that reads the state of engines and sends them orders."""

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


class _ModelList(msgspec.Struct):
    models: list[EngineModel] = []


class EngineClient:
    """Send requests to model engines.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    """

    __slots__ = ('_http',)

    def __init__(self, http: aiohttp.ClientSession) -> None:
        """Store the session; nothing is sent."""
        self._http = http

    async def read_state(self, vm: Vm) -> EngineState:
        """Return the models that the engine on ``vm`` has loaded.

        Raises
        ------
        OrderError
            If the engine does not answer within `ORDER_TIMEOUT`, or not with
            a list of models.
        """
        async with self._open('GET', vm, '/v1/models') as answer:
            body = await answer.read()
        try:
            received = msgspec.json.decode(body, type=_ModelList)
        except msgspec.MsgspecError as error:
            raise OrderError(
                f'{vm.name} answered without a readable list of models'
            ) from error
        return EngineState(vm, frozenset(received.models))

    async def send(self, vm: Vm, order: EngineOrder) -> None:
        """Send ``order`` to the engine on ``vm``.

        Raises
        ------
        StaleOrderError
            If the engine has received a higher fencing number.
        OrderDeferredError
            If the engine asks to retry later.
        OrderError
            If it does not answer within `ORDER_TIMEOUT`, or refuses for
            another reason.
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
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT.total_seconds())
        url = f'http://{vm.address}{path}'
        try:
            async with self._http.request(
                method,
                url,
                data=body,
                timeout=timeout,
            ) as answer:
                _raise_for_status(answer)
                yield answer
        except (aiohttp.ClientError, TimeoutError) as error:
            raise OrderError(f'{vm.name} could not be reached') from error


def _raise_for_status(answer: aiohttp.ClientResponse) -> None:
    if answer.status == HTTPStatus.CONFLICT:
        raise StaleOrderError('the engine has received a higher fencing number')
    if answer.status in DEFERRING_STATUSES:
        raise OrderDeferredError(_read_retry_after(answer))
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise OrderError(f'the engine answered with status {answer.status}')


def _read_retry_after(answer: aiohttp.ClientResponse) -> timedelta:
    text = answer.headers.get('Retry-After', '')
    if text.isdecimal():
        return timedelta(seconds=int(text))
    return DEFAULT_RETRY_AFTER
