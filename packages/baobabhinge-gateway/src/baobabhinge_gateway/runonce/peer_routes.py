"""HTTP paths by which other gateways reach this owner and witness."""

from typing import TypeVar

from aiohttp import web

from baobabhinge_coordination.runonce import (
    AskOutcome,
    CopyOutcome,
    IntentReply,
    OpenEpoch,
    RecordIntent,
    WitnessFullError,
)
from baobabhinge_gateway.errors import KeysUnavailableError
from baobabhinge_gateway.messages import decode_message, render_message
from baobabhinge_gateway.runonce import peer_client
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_gateway.runonce.outcome_resolver import OutcomeResolver

MessageT = TypeVar('MessageT')
QUESTION_PATTERN = '|'.join(peer_client.Question)


class RunOncePeerRoutes:
    """Handlers of the run-once messages from other gateways.

    Parameters
    ----------
    key_state : KeyState
        Keys and epochs of this gateway.
    resolver : OutcomeResolver
        Answers the questions of other gateways from ``key_state``.
    """

    __slots__ = ('_key_state', '_resolver')

    def __init__(self, key_state: KeyState, resolver: OutcomeResolver) -> None:
        """Store the collaborators."""
        self._key_state = key_state
        self._resolver = resolver

    def add_to(self, app: web.Application) -> None:
        """Register the handlers with ``app``."""
        prefix = peer_client.PATH_PREFIX
        for path, route_handler in (
            (peer_client.EPOCHS_PATH, self._open_epoch),
            (peer_client.INTENTS_PATH, self._record_intent),
            (peer_client.OUTCOMES_PATH, self._record_outcome),
            (f'{{question:{QUESTION_PATTERN}}}', self._ask),
        ):
            app.router.add_post(f'{prefix}/{path}', route_handler)

    async def _open_epoch(self, request: web.Request) -> web.Response:
        message = await _read_message(request, OpenEpoch)
        try:
            opened = self._key_state.witness.open_epoch(message)
        except WitnessFullError as error:
            raise KeysUnavailableError(str(error)) from error
        return render_message(opened)

    async def _record_intent(self, request: web.Request) -> web.Response:
        message = await _read_message(request, RecordIntent)
        return render_message(
            IntentReply(self._key_state.witness.record_intent(message))
        )

    async def _record_outcome(self, request: web.Request) -> web.Response:
        message = await _read_message(request, CopyOutcome)
        self._key_state.witness.copy_outcome(message)
        return render_message(peer_client.Acknowledgement())

    async def _ask(self, request: web.Request) -> web.Response:
        message = await _read_message(request, AskOutcome)
        question = peer_client.Question(request.match_info['question'])
        return render_message(self._resolver.answer_locally(question, message))


async def _read_message(
    request: web.Request, message_type: type[MessageT]
) -> MessageT:
    return decode_message(await request.read(), message_type, 'message')
