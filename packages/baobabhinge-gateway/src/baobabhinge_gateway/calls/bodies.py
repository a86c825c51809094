"""Bodies of requests, read within a timeout."""

import asyncio
from datetime import timedelta

from aiohttp import web

from baobabhinge_gateway.errors import SlowRequestError

BODY_TIMEOUT = timedelta(seconds=10)


async def read_body(request: web.Request) -> bytes:
    """Return the complete body.

    Raises
    ------
    SlowRequestError
        If it does not arrive within `BODY_TIMEOUT`.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT.total_seconds()):
            return await request.read()
    except TimeoutError as late:
        raise SlowRequestError(
            'the request body did not arrive within the timeout'
        ) from late
