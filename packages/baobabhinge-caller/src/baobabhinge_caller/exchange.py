"""Exchange of one request with one gateway, and its errors."""

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
    """Complete answer.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Complete body.
    request_id : str
        Identifier of the request, to quote to the operators.
    """

    status: int
    body: bytes
    request_id: str = ''


class ExchangeFailedError(Exception):
    """The gateway gave no complete answer.

    Parameters
    ----------
    problem : Problem
        Problem reported by the gateway, or found by the library.
    """

    def __init__(self, problem: Problem) -> None:
        """Store the problem; its code is the message."""
        super().__init__(problem.code)
        self.problem = problem


@asynccontextmanager
async def open_exchange(
    http: aiohttp.ClientSession,
    address: str,
    outgoing: OutgoingRequest,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send ``outgoing`` to the gateway at ``address`` and yield the answer.

    Raises
    ------
    ExchangeFailedError
        If there is no answer, it reports a problem, or it is truncated.
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
    except aiohttp.ClientConnectorError as error:
        raise ExchangeFailedError(
            Problem('no-connection', NOT_RUN, 'no connection to the gateway'),
        ) from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ExchangeFailedError(
            Problem(
                'answer-broken',
                UNKNOWN,
                'the connection failed before the answer was complete',
            ),
        ) from error


async def _raise_problem(answer: aiohttp.ClientResponse) -> None:
    if answer.content_type == PROBLEM_TYPE:
        raise ExchangeFailedError(read_problem(await answer.read()))


def get_request_id(answer: aiohttp.ClientResponse) -> str:
    """Return the request identifier in the answer, empty if it has none."""
    return answer.headers.get(REQUEST_ID, '')


def read_problem(body: bytes) -> Problem:
    """Decode a problem; a malformed one means that the outcome is unknown."""
    try:
        return msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        return Problem(
            'answer-broken', UNKNOWN, 'the gateway reported a malformed problem'
        )
