"""Reading of what another gateway has to tell."""

from datetime import timedelta
from functools import partial

import aiohttp

from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.memory_budget import MemoryUse
from baobabhinge_platform.answers import read_bounded


async def fetch(
    http: aiohttp.ClientSession,
    address: str,
    path: str,
    limit: timedelta,
    memory: MemoryUse,
) -> bytes:
    """Return the body that another gateway answers to a GET of ``path``.

    Raises as `open_exchange` does.
    """
    outbound = OutboundRequest('GET', address, path, (), b'', limit)
    async with open_exchange(http, outbound) as response:
        return await read_bounded(response, partial(memory.add_answer, address))
