"""One exchange with one gateway, and what went wrong in it."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import msgspec

from baobabhinge_caller.messages import NOT_RUN, UNKNOWN, Problem
from baobabhinge_caller.outgoing_request import OutgoingRequest

PROBLEM_TYPE = 'application/problem+json'
EXPECT = 'Expect'
REQUEST_ID = 'X-Request-Id'


class Answer(msgspec.Struct, frozen=True):
    """A whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Whole body.
    request_id : str
        Identifier to name when you ask the operators.
    """

    status: int
    body: bytes
    request_id: str = ''


class ExchangeFailedError(Exception):
    """The gateway gave no whole answer.

    Parameters
    ----------
    problem : Problem
        What it said, or what was seen.
    """

    def __init__(self, problem: Problem) -> None:
        """Keep the problem."""
        super().__init__(problem.code)
        self.problem = problem


@asynccontextmanager
async def open_exchange(
    http: aiohttp.ClientSession,
    address: str,
    outgoing: OutgoingRequest,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send ``outgoing`` to ``address`` and yield the answer.

    Raises
    ------
    ExchangeFailedError
        If there is no answer, or it breaks off while it is read.
    """
    headers = {**outgoing.headers}
    expects = headers.pop(EXPECT, None) is not None
    try:
        async with http.request(
            outgoing.method,
            f'http://{address}{outgoing.path}',
            headers=headers,
            data=outgoing.body,
            expect100=expects,
            allow_redirects=False,
        ) as answer:
            await _raise_problem(answer)
            yield answer
    except aiohttp.ClientConnectorError as refused:
        raise ExchangeFailedError(
            Problem('no-connection', NOT_RUN, 'no gateway listens there'),
        ) from refused
    except (aiohttp.ClientError, TimeoutError) as broken:
        raise ExchangeFailedError(
            Problem('answer-broken', UNKNOWN, 'the answer broke off'),
        ) from broken


async def _raise_problem(answer: aiohttp.ClientResponse) -> None:
    if answer.content_type == PROBLEM_TYPE:
        raise ExchangeFailedError(read_problem(await answer.read()))


def get_request_id(answer: aiohttp.ClientResponse) -> str:
    """Return the identifier that the gateway gave the request."""
    return answer.headers.get(REQUEST_ID, '')


def read_problem(body: bytes) -> Problem:
    """Return the problem in ``body``; the outcome of a bad one is unknown."""
    try:
        return msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        return Problem('answer-broken', UNKNOWN, 'a malformed error')
