"""Messages to owners and witnesses on other gateways."""

import enum
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from baobabhinge_coordination.runonce import (
    AskOutcome,
    CopyOutcome,
    EpochOpened,
    IntentReply,
    OpenEpoch,
    RecordIntent,
    RunOnceOutcome,
)
from baobabhinge_gateway.errors import GatewayError

PEER_TIMEOUT = timedelta(seconds=1)
PATH_PREFIX = '/peer/run-once'
EPOCHS = 'epochs'
INTENTS = 'intents'
OUTCOMES = 'outcomes'

ReplyT = TypeVar('ReplyT')


class PeerSilentError(GatewayError):
    """The other gateway gave no answer; it may have got the message."""


class Question(enum.StrEnum):
    """Who is asked, and whether an unused key is closed by it."""

    owner_tells = 'owner/outcome'
    owner_closes = 'owner/close'
    witness_tells = 'witness/outcome'
    witness_seals = 'witness/seal'


class Done(msgspec.Struct, frozen=True):
    """Answer to a message that needs no other."""


class PeerClient:
    """Client of the run-once paths of other gateways.

    Each call raises a `PeerSilentError` unless the answer came whole.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    """

    __slots__ = ('_http',)

    def __init__(self, http: aiohttp.ClientSession) -> None:
        """Keep the session; no call is made."""
        self._http = http

    async def open_epoch(self, address: str, order: OpenEpoch) -> EpochOpened:
        """Ask the gateway at ``address`` to be a witness."""
        return await self._send(address, EPOCHS, order, EpochOpened)

    async def record(self, address: str, order: RecordIntent) -> IntentReply:
        """Record an intent at the witness."""
        return await self._send(address, INTENTS, order, IntentReply)

    async def copy(self, address: str, order: CopyOutcome) -> None:
        """Tell the witness how a call ended."""
        await self._send(address, OUTCOMES, order, Done)

    async def ask(
        self,
        address: str,
        question: Question,
        order: AskOutcome,
    ) -> RunOnceOutcome:
        """Ask an owner or a witness what became of a key."""
        return await self._send(address, question, order, RunOnceOutcome)

    async def _send(
        self,
        address: str,
        path: str,
        order: msgspec.Struct,
        kind: type[ReplyT],
    ) -> ReplyT:
        url = f'http://{address}{PATH_PREFIX}/{path}'
        try:
            body = await _exchange(self._http, url, msgspec.json.encode(order))
        except (aiohttp.ClientError, TimeoutError) as silent:
            raise PeerSilentError(f'no answer from {address}') from silent
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as bad:
            raise PeerSilentError(f'malformed answer from {address}') from bad


async def _exchange(
    http: aiohttp.ClientSession,
    url: str,
    body: bytes,
) -> bytes:
    limit = aiohttp.ClientTimeout(total=PEER_TIMEOUT.total_seconds())
    async with http.post(url, data=body, timeout=limit) as answer:
        if answer.status != HTTPStatus.OK:
            raise PeerSilentError(f'status {answer.status} from {url}')
        return await answer.read()
