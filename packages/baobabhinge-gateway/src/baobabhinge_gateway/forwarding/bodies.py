"""Body, time limit and service of a request of a caller."""

from datetime import timedelta
from random import Random

from aiohttp import web

from baobabhinge_gateway.connections.receiving import Renew, bound_pauses
from baobabhinge_gateway.deployment import Route
from baobabhinge_gateway.forwarding.call import CallHead
from baobabhinge_gateway.forwarding.memory_budget import MemoryUse
from baobabhinge_gateway.forwarding.problems import (
    BodyTooLargeError,
)

# Applies if neither the caller nor the route sets a time limit.
DEFAULT_TIME_LIMIT = timedelta(minutes=10)


async def read_body(
    request: web.BaseRequest, max_bytes: int, memory: MemoryUse
) -> bytes:
    """Return the complete body of a request.

    Raises
    ------
    BodyTooLargeError
        If it exceeds ``max_bytes``.
    BodyMemoryError
        If the gateway has no memory for it, or needs that of its beginning.
    BodyStalledError
        If the rest of it did not arrive.
    """
    if request.content.is_eof():
        return await _read_chunks(request, max_bytes, memory, _ignore_progress)
    async with bound_pauses(memory) as renew:
        return await _read_chunks(request, max_bytes, memory, renew)


async def _read_chunks(
    request: web.BaseRequest, max_bytes: int, memory: MemoryUse, renew: Renew
) -> bytes:
    sender = request.remote or ''
    # Chunks are joined at once: as objects, small ones take far more memory.
    body = bytearray()
    async for chunk in request.content.iter_any():
        if len(body) + len(chunk) > max_bytes:
            raise BodyTooLargeError(
                'the request body exceeds the body limit of the configuration'
            )
        memory.add_body(sender, len(chunk))
        body += chunk
        renew()
    return bytes(body)


def _ignore_progress() -> None:
    """Bound no pauses, as the body is whole."""


def choose_time_limit(head: CallHead, route: Route) -> timedelta:
    """Return the shorter of the time limits of the caller and of the route."""
    limits = (head.patience, route.time_limit)
    return min(
        (limit for limit in limits if limit),
        default=DEFAULT_TIME_LIMIT,
    )


def choose_service(route: Route, random: Random) -> str:
    """Draw a service of ``route`` with the weights of its traffic split."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return random.choices(route.splits, weights)[0].service
