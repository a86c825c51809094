"""Waiting until processes answer."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus

import aiohttp

from baobabhinge_standins.fleet.ports import HOST

POLL_INTERVAL = timedelta(milliseconds=50)
READY_PATIENCE = timedelta(seconds=60)


async def wait_until(
    check: Callable[[], Awaitable[bool]],
    patience: timedelta = READY_PATIENCE,
) -> None:
    """Wait until ``check`` returns true.

    Raises
    ------
    TimeoutError
        If it does not within ``patience``.
    """
    async with asyncio.timeout(patience.total_seconds()):
        while not await check():
            await asyncio.sleep(POLL_INTERVAL.total_seconds())


async def wait_port(port: int) -> None:
    """Wait until something listens at ``port`` of the loopback address."""

    async def is_open() -> bool:
        return await _is_open(port)

    await wait_until(is_open)


async def is_ok(http: aiohttp.ClientSession, url: str) -> bool:
    """Tell whether a GET of ``url`` is answered with status 200."""
    try:
        async with http.get(url) as answer:
            return answer.status == HTTPStatus.OK
    except aiohttp.ClientError:
        return False


async def _is_open(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.close()
    return True
