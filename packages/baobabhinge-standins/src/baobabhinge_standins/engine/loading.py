"""Carrying out the present order of an engine."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta
from http import HTTPStatus

from aiohttp import ClientError, ClientSession, web

from baobabhinge_standins.engine.models import LoadedModel, ModelShelf

RANGE_BYTES = 262_144
RETRY_INTERVAL = timedelta(milliseconds=100)


class WeightReader:
    """Read weights range by range, as slowly as the store allows.

    Parameters
    ----------
    address : str
        Base URL of the weight store; empty if weights need no reading.
    """

    __slots__ = ('_address',)

    def __init__(self, address: str = '') -> None:
        """Keep the address."""
        self._address = address

    async def read(self, model: LoadedModel) -> int:
        """Read all weights of a model and return their size, in bytes."""
        if not self._address:
            return 0
        url = f'{self._address}/weights/{model.model}/{model.version}'
        size = 0
        is_whole = False
        async with ClientSession() as http:
            while not is_whole:
                piece = await _read_range(http, url, size)
                size += piece
                is_whole = piece < RANGE_BYTES
        return size


async def _read_range(
    http: ClientSession,
    url: str,
    start: int,
) -> int:
    last = start + RANGE_BYTES - 1
    asked = f'bytes={start}-{last}'
    while True:
        try:
            piece = await _try_range(http, url, asked)
        except ClientError:
            piece = None
        if piece is not None:
            return piece
        await asyncio.sleep(RETRY_INTERVAL.total_seconds())


async def _try_range(
    http: ClientSession,
    url: str,
    asked: str,
) -> int | None:
    async with http.get(url, headers={'Range': asked}) as answer:
        if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            await asyncio.sleep(float(answer.headers['Retry-After']))
            return None
        if answer.status == HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE:
            return 0
        answer.raise_for_status()
        return len(await answer.read())


class Loader:
    """Load the models that the present order wants, one after another.

    Parameters
    ----------
    shelf : ModelShelf
        Models and the present order.
    reader : WeightReader
        Reader of the weights.
    """

    __slots__ = ('_reader', '_shelf', '_wake')

    def __init__(self, shelf: ModelShelf, reader: WeightReader) -> None:
        """Load nothing yet."""
        self._shelf = shelf
        self._reader = reader
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Say that the present order has changed."""
        self._wake.set()

    async def keep_loading(self, app: web.Application) -> AsyncIterator[None]:
        """Load while the application runs."""
        loading = asyncio.create_task(self._load_on())
        yield
        loading.cancel()

    async def _load_on(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._load_missing()

    async def _load_missing(self) -> None:
        model = self._shelf.find_missing()
        while model is not None:
            await self._reader.read(model)
            self._shelf.finish(model)
            model = self._shelf.find_missing()
