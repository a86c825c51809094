"""Sending one request to one gateway."""

from datetime import timedelta

import aiohttp
import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.traffic.replies import Reply
from baobabhinge_standins.traffic.requests import Request

REQUEST_ID_HEADER = 'X-Request-Id'


class Timed(msgspec.Struct, frozen=True):
    """A reply with its times.

    Parameters
    ----------
    reply : Reply
        What arrived.
    first, whole : timedelta
        Time to the first piece of the body and to its end.
    is_refused : bool
        Whether no connection was made, so that nothing was sent.
    """

    reply: Reply
    first: timedelta
    whole: timedelta
    is_refused: bool = False


class HttpSender:
    """Send requests over HTTP.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    clock : Clock
        Clock of the latencies.
    """

    __slots__ = ('_clock', '_http')

    def __init__(self, http: aiohttp.ClientSession, clock: Clock) -> None:
        """Keep both."""
        self._http = http
        self._clock = clock

    async def send(
        self,
        request: Request,
        address: str,
        key: str = '',
    ) -> Timed:
        """Send one request to the gateway at ``address``."""
        reading = _Reading(self._clock)
        try:
            await self._read(reading, request, f'http://{address}', key)
        except aiohttp.ClientConnectorError:
            return reading.finish(is_refused=True)
        except (aiohttp.ClientError, TimeoutError):
            return reading.finish()
        reading.is_ended = True
        return reading.finish()

    async def _read(
        self,
        reading: '_Reading',
        request: Request,
        base: str,
        key: str,
    ) -> None:
        async with self._http.request(
            request.method,
            f'{base}{request.path}',
            data=request.body or None,
            headers=request.list_headers(key),
        ) as answer:
            reading.begin(answer)
            async for piece in answer.content.iter_any():
                reading.add(piece)


class _Reading:
    __slots__ = ('_answer', '_body', '_clock', '_first', '_start', 'is_ended')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start = clock.read_monotonic()
        self._first: timedelta | None = None
        self._answer: aiohttp.ClientResponse | None = None
        self._body = bytearray()
        self.is_ended = False

    def begin(self, answer: aiohttp.ClientResponse) -> None:
        self._answer = answer

    def add(self, piece: bytes) -> None:
        if self._first is None:
            self._first = self._clock.read_monotonic() - self._start
        self._body += piece

    def finish(self, *, is_refused: bool = False) -> Timed:
        whole = self._clock.read_monotonic() - self._start
        reply = Reply()
        if self._answer is not None:
            reply = Reply(
                self._answer.status,
                bytes(self._body),
                self._answer.headers.get(REQUEST_ID_HEADER, ''),
                self.is_ended,
            )
        return Timed(reply, self._first or whole, whole, is_refused)
