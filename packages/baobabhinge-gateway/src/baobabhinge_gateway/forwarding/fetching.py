"""Transfer of state from another gateway over HTTP."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from http import HTTPStatus

import aiohttp
import msgspec

from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.memory_budget import MemoryBudget
from baobabhinge_platform.answers import read_bounded

FETCH_TIMEOUT = timedelta(seconds=1)


class StateAnswer(msgspec.Struct, frozen=True):
    """Answer to a gateway that asks for state.

    Parameters
    ----------
    body : bytes
        Encoded snapshot.
    status : HTTPStatus
        Status of the answer.
    """

    body: bytes
    status: HTTPStatus = HTTPStatus.OK


# Asks the gateway at ``host:port`` for a path with a query. Raises
# `NotReachedError` or `ForwardingError`.
StateTransfer = Callable[[str, str], Awaitable[StateAnswer]]


class HttpTransfer:
    """Ask other gateways over HTTP.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the requests; it is not closed here.
    memory : MemoryBudget
        Bound on the bytes of all answers.
    """

    __slots__ = ('_http', '_memory')

    def __init__(
        self, http: aiohttp.ClientSession, memory: MemoryBudget
    ) -> None:
        """Store the collaborators."""
        self._http = http
        self._memory = memory

    async def fetch(self, address: str, target: str) -> StateAnswer:
        """Return the answer of the gateway at ``address``.

        Raises as `open_exchange` does.
        """
        outbound = OutboundRequest(
            'GET', address, target, (), b'', FETCH_TIMEOUT
        )
        with self._memory.open_use() as memory:
            async with open_exchange(self._http, outbound) as response:
                body = await read_bounded(
                    response, partial(memory.add_answer, address)
                )
                return StateAnswer(body, HTTPStatus(response.status))
