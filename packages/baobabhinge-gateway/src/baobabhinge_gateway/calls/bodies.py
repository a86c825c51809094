"""Reading the bodies of requests within a time limit."""

import asyncio
from datetime import timedelta

from aiohttp import web

from baobabhinge_gateway.errors import SlowRequestError

BODY_TIMEOUT = timedelta(seconds=10)


async def read_body(request: web.Request) -> bytes:
    """Return the whole body.

    Raises
    ------
    SlowRequestError
        If it does not arrive in time.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT.total_seconds()):
            return await request.read()
    except TimeoutError as late:
        raise SlowRequestError('the body did not arrive in time') from late
