"""Reading requests of callers within the limits in force."""

from datetime import timedelta
from random import Random

from aiohttp import web

from baobabhinge_gateway.deployment import RequestLimits, Route
from baobabhinge_gateway.forwarding.call import CallHead
from baobabhinge_gateway.forwarding.problems import (
    BodyTooLargeError,
)

# For callers that do not say how long they wait.
DEFAULT_TIME_LIMIT = timedelta(minutes=10)


async def read_body(request: web.BaseRequest, limits: RequestLimits) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    BodyTooLargeError
        If it exceeds the limit in force.
    """
    pieces = []
    length = 0
    async for piece in request.content.iter_any():
        length += len(piece)
        if length > limits.body_bytes:
            raise BodyTooLargeError('the body exceeds the limit')
        pieces.append(piece)
    return b''.join(pieces)


def choose_time_limit(head: CallHead, route: Route) -> timedelta:
    """Return the sooner of the caller's patience and the route's limit."""
    limits = (head.patience, route.time_limit)
    return min(
        (limit for limit in limits if limit),
        default=DEFAULT_TIME_LIMIT,
    )


def choose_service(route: Route, random: Random) -> str:
    """Draw one service of ``route`` by the weights of its splits."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return random.choices(route.splits, weights)[0].service
