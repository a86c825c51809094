"""Client for programs that call baobabhinge."""

from collections.abc import AsyncIterator

from baobabhinge_caller.call_sender import CallSender
from baobabhinge_caller.completions import build_complete_request
from baobabhinge_caller.errors import NotRunError, OutcomeUnknownError
from baobabhinge_caller.exchange import Answer
from baobabhinge_caller.key_pool import KeyPool
from baobabhinge_caller.outgoing_request import (
    build_key_request,
    build_service_request,
)
from baobabhinge_caller.requests import Completion, ServiceCall
from baobabhinge_caller.tokens import Token, read_token


class Client:
    """Send calls, retried at other gateways where that is safe.

    Parameters
    ----------
    sender : CallSender
        Sends the calls.
    keys : KeyPool
        Run-once keys obtained in advance.
    """

    __slots__ = ('_keys', '_sender')

    def __init__(self, sender: CallSender, keys: KeyPool) -> None:
        """Store the collaborators; no request is sent."""
        self._sender = sender
        self._keys = keys

    async def stream(self, asked: Completion) -> AsyncIterator[str]:
        """Yield the text of each token, once and in order.

        A stream that breaks is resumed at another gateway.

        Raises
        ------
        CallFailedError
            If the stream can't be completed.
        """
        async for token in self.stream_tokens(asked):
            yield token.text

    def stream_tokens(self, asked: Completion) -> AsyncIterator[Token]:
        """Yield the tokens of `stream` with the identifier of the request.

        Raises
        ------
        CallFailedError
            If the stream can't be completed.
        """
        return self._sender.stream(asked)

    async def complete(self, asked: Completion) -> Token:
        """Return the complete text of a completion.

        Raises
        ------
        CallFailedError
            If there is no complete answer.
        """
        answer = await self._sender.send(build_complete_request(asked))
        return read_token(answer.body, answer.request_id)

    async def call(self, asked: ServiceCall) -> Answer:
        """Return the answer to a call of a plain service.

        Raises
        ------
        CallFailedError
            If there is no answer; `OutcomeUnknownError` if the call may have
            run.
        """
        return await self._sender.send(build_service_request(asked, None))

    async def run_once(
        self,
        asked: ServiceCall,
        key: str | None = None,
    ) -> Answer:
        """Return the answer to a call that runs at most once.

        Parameters
        ----------
        asked : ServiceCall
            Call to send.
        key : str, optional
            Key of an earlier `OutcomeUnknownError`, to ask for its outcome;
            by default one of the keys obtained in advance. All attempts use
            the same key.

        Raises
        ------
        CallFailedError
            If there is no answer; an `OutcomeUnknownError` carries the key.
        """
        used_key = key or await self._take_key()
        try:
            return await self._sender.send(
                build_service_request(asked, used_key)
            )
        except NotRunError:
            self._keys.discard_all()
            raise
        except OutcomeUnknownError as error:
            self._keys.discard_all()
            raise OutcomeUnknownError(error.problem, used_key) from error

    async def _take_key(self) -> str:
        key = self._keys.take()
        while key is None:
            answer = await self._sender.send(build_key_request())
            self._keys.refill(answer.body)
            key = self._keys.take()
        return key
