"""Sending calls, moved between gateways where that is harmless."""

from collections.abc import AsyncIterator

import aiohttp

from baobabhinge_caller.attempts import Attempts
from baobabhinge_caller.chunks import Token
from baobabhinge_caller.completions import build_stream
from baobabhinge_caller.entries import EntryBook
from baobabhinge_caller.exchange import (
    Answer,
    ExchangeFailedError,
    get_request_id,
    open_exchange,
)
from baobabhinge_caller.outgoing import Outgoing
from baobabhinge_caller.requests import Completion
from baobabhinge_caller.streaming import read_tokens


class Sender:
    """Send calls over one client session.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    entries : EntryBook
        Gateways to use.
    """

    __slots__ = ('_entries', '_http')

    def __init__(self, http: aiohttp.ClientSession, entries: EntryBook) -> None:
        """Keep the parts."""
        self._http = http
        self._entries = entries

    async def send(self, outgoing: Outgoing) -> Answer:
        """Return the whole answer.

        Raises
        ------
        CallFailedError
            If there is none.
        """
        attempts = Attempts(
            self._entries,
            is_repeatable=outgoing.is_repeatable,
        )
        while True:
            try:
                return await self._send_once(attempts, outgoing)
            except ExchangeFailedError as failure:
                await attempts.record(failure.problem)

    async def stream(self, asked: Completion) -> AsyncIterator[Token]:
        """Yield each token, once and in order.

        Raises
        ------
        CallFailedError
            If the rest can't be had.
        """
        attempts = Attempts(self._entries, is_repeatable=True)
        received = 0
        while True:
            outgoing = build_stream(asked, received)
            try:
                async for token in self._stream_once(attempts, outgoing):
                    received += 1
                    yield token
            except ExchangeFailedError as failure:
                await attempts.record(failure.problem)
            else:
                return

    async def _send_once(
        self,
        attempts: Attempts,
        outgoing: Outgoing,
    ) -> Answer:
        address = await attempts.choose()
        async with open_exchange(self._http, address, outgoing) as answer:
            body = await answer.read()
            return Answer(answer.status, body, get_request_id(answer))

    async def _stream_once(
        self,
        attempts: Attempts,
        outgoing: Outgoing,
    ) -> AsyncIterator[Token]:
        address = await attempts.choose()
        async with open_exchange(self._http, address, outgoing) as answer:
            async for token in read_tokens(answer):
                yield token
