"""The client that programs use."""

from collections.abc import AsyncIterator

import aiohttp

from baobabhinge_caller.attempts import Attempts
from baobabhinge_caller.entries import EntryBook
from baobabhinge_caller.errors import OutcomeUnknownError
from baobabhinge_caller.exchange import (
    Answer,
    ExchangeFailedError,
    open_exchange,
)
from baobabhinge_caller.keys import KeyPurse
from baobabhinge_caller.outgoing import (
    Outgoing,
    build_completion,
    build_key_order,
    build_service_call,
)
from baobabhinge_caller.requests import Completion, ServiceCall
from baobabhinge_caller.streaming import read_texts


class Client:
    """Calls to baobabhinge, moved between gateways where that is harmless.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    entries : EntryBook
        Gateways to use.
    keys : KeyPurse
        Run-once keys taken ahead.
    """

    __slots__ = ('_entries', '_http', '_keys')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        entries: EntryBook,
        keys: KeyPurse,
    ) -> None:
        """Keep the parts."""
        self._http = http
        self._entries = entries
        self._keys = keys

    async def stream(self, asked: Completion) -> AsyncIterator[str]:
        """Yield the text of each token, once and in order.

        A stream that breaks goes on at another gateway.

        Raises
        ------
        CallFailedError
            If the rest can't be had.
        """
        attempts = Attempts(self._entries, is_repeatable=True)
        received = 0
        while True:
            outgoing = build_completion(asked, received)
            try:
                async for text in _stream_once(
                    self._http,
                    attempts,
                    outgoing,
                ):
                    received += 1
                    yield text
            except ExchangeFailedError as failure:
                await attempts.record(failure.problem)
            else:
                return

    async def call(self, asked: ServiceCall) -> Answer:
        """Return the answer to a call of a plain service.

        Raises
        ------
        CallFailedError
            If there is none; `OutcomeUnknownError` if it may have run.
        """
        return await self._send(build_service_call(asked, None))

    async def run_once(
        self,
        asked: ServiceCall,
        key: str | None = None,
    ) -> Answer:
        """Return the answer to a call that runs at most once.

        Parameters
        ----------
        asked : ServiceCall
            The call.
        key : str, optional
            Key of an earlier `OutcomeUnknownError`, to ask again; otherwise
            one of the keys taken ahead. The call never goes out under a
            second key.

        Raises
        ------
        CallFailedError
            If there is no answer; an `OutcomeUnknownError` carries the key.
        """
        used = key or await self._take_key()
        try:
            return await self._send(build_service_call(asked, used))
        except OutcomeUnknownError as unknown:
            raise OutcomeUnknownError(unknown.problem, used) from unknown

    async def _take_key(self) -> str:
        key = self._keys.take()
        while key is None:
            batch = await self._send(build_key_order())
            self._keys.fill(batch.body)
            key = self._keys.take()
        return key

    async def _send(self, outgoing: Outgoing) -> Answer:
        attempts = Attempts(
            self._entries,
            is_repeatable=outgoing.is_repeatable,
        )
        while True:
            try:
                return await _send_once(self._http, attempts, outgoing)
            except ExchangeFailedError as failure:
                await attempts.record(failure.problem)


async def _send_once(
    http: aiohttp.ClientSession,
    attempts: Attempts,
    outgoing: Outgoing,
) -> Answer:
    address = await attempts.choose()
    async with open_exchange(http, address, outgoing) as answer:
        return Answer(answer.status, await answer.read())


async def _stream_once(
    http: aiohttp.ClientSession,
    attempts: Attempts,
    outgoing: Outgoing,
) -> AsyncIterator[str]:
    address = await attempts.choose()
    async with open_exchange(http, address, outgoing) as answer:
        async for text in read_texts(answer):
            yield text
