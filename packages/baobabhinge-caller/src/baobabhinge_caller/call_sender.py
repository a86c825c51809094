"""Sending of calls, with retries at other gateways where that is safe."""

from collections.abc import AsyncIterator

import aiohttp

from baobabhinge_caller.attempts import Attempts
from baobabhinge_caller.completions import build_stream_request
from baobabhinge_caller.entry_cache import EntryCache
from baobabhinge_caller.exchange import (
    Answer,
    ExchangeFailedError,
    get_request_id,
    open_exchange,
)
from baobabhinge_caller.outgoing_request import OutgoingRequest
from baobabhinge_caller.requests import Completion
from baobabhinge_caller.token_stream import read_tokens
from baobabhinge_caller.tokens import Token


class CallSender:
    """Send calls over one HTTP session.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    entries : EntryCache
        Gateways to choose from.
    """

    __slots__ = ('_entries', '_http')

    def __init__(
        self, http: aiohttp.ClientSession, entries: EntryCache
    ) -> None:
        """Store the collaborators; no request is sent."""
        self._http = http
        self._entries = entries

    async def send(self, outgoing: OutgoingRequest) -> Answer:
        """Return the complete answer, after retries if necessary.

        Raises
        ------
        CallFailedError
            If there is no complete answer.
        """
        attempts = Attempts(
            self._entries,
            is_repeatable=outgoing.is_repeatable,
        )
        while True:
            try:
                return await self._send_once(attempts, outgoing)
            except ExchangeFailedError as failure:
                await attempts.record_failure(failure.problem)

    async def stream(self, asked: Completion) -> AsyncIterator[Token]:
        """Yield each token, once and in order.

        Raises
        ------
        CallFailedError
            If the stream can't be completed.
        """
        attempts = Attempts(self._entries, is_repeatable=True)
        received = 0
        while True:
            outgoing = build_stream_request(asked, received)
            try:
                async for token in self._stream_once(attempts, outgoing):
                    received += 1
                    yield token
            except ExchangeFailedError as failure:
                await attempts.record_failure(failure.problem)
            else:
                return

    async def _send_once(
        self,
        attempts: Attempts,
        outgoing: OutgoingRequest,
    ) -> Answer:
        address = await attempts.choose()
        async with open_exchange(self._http, address, outgoing) as answer:
            body = await answer.read()
            return Answer(answer.status, body, get_request_id(answer))

    async def _stream_once(
        self,
        attempts: Attempts,
        outgoing: OutgoingRequest,
    ) -> AsyncIterator[Token]:
        address = await attempts.choose()
        async with open_exchange(self._http, address, outgoing) as answer:
            async for token in read_tokens(answer):
                yield token
