"""Client of owners and witnesses on other gateways."""

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
EPOCHS_PATH = 'epochs'
INTENTS_PATH = 'intents'
OUTCOMES_PATH = 'outcomes'

ReplyT = TypeVar('ReplyT')


class PeerRequestError(GatewayError):
    """The other gateway gave no valid answer.

    It may have received and applied the message.
    """


class Question(enum.StrEnum):
    """Party that is asked, and whether asking closes or seals an unused key.

    The value is the path of the question below `PATH_PREFIX`.
    """

    owner_look_up = 'owner/outcome'
    owner_close = 'owner/close'
    witness_look_up = 'witness/outcome'
    witness_seal = 'witness/seal'


class Acknowledgement(msgspec.Struct, frozen=True):
    """Empty answer to a message that needs no result."""


class RunOncePeerClient:
    """Client of the run-once paths of other gateways.

    Each method waits for at most `PEER_TIMEOUT` and raises a
    `PeerRequestError` if there is no complete, valid answer.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    """

    __slots__ = ('_http',)

    def __init__(self, http: aiohttp.ClientSession) -> None:
        """Store the session; no connection is opened yet."""
        self._http = http

    async def open_epoch(self, address: str, message: OpenEpoch) -> EpochOpened:
        """Ask the gateway at ``address`` to open an epoch as a witness."""
        return await self._send(address, EPOCHS_PATH, message, EpochOpened)

    async def record_intent(
        self, address: str, message: RecordIntent
    ) -> IntentReply:
        """Record an intent at the witness at ``address``."""
        return await self._send(address, INTENTS_PATH, message, IntentReply)

    async def copy_outcome(self, address: str, message: CopyOutcome) -> None:
        """Send the outcome of a call to the witness at ``address``."""
        await self._send(address, OUTCOMES_PATH, message, Acknowledgement)

    async def ask(
        self,
        address: str,
        question: Question,
        message: AskOutcome,
    ) -> RunOnceOutcome:
        """Ask an owner or a witness for the outcome of a key."""
        return await self._send(address, question, message, RunOnceOutcome)

    async def _send(
        self,
        address: str,
        path: str,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
    ) -> ReplyT:
        url = f'http://{address}{PATH_PREFIX}/{path}'
        try:
            body = await _exchange(
                self._http, url, msgspec.json.encode(message)
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PeerRequestError(
                f'no complete answer from gateway {address}'
            ) from error
        try:
            return msgspec.json.decode(body, type=reply_type)
        except msgspec.MsgspecError as error:
            raise PeerRequestError(
                f'malformed answer from gateway {address}'
            ) from error


async def _exchange(
    http: aiohttp.ClientSession,
    url: str,
    body: bytes,
) -> bytes:
    timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT.total_seconds())
    async with http.post(url, data=body, timeout=timeout) as answer:
        if answer.status != HTTPStatus.OK:
            raise PeerRequestError(
                f'status {answer.status} instead of 200 from {url}'
            )
        return await answer.read()
