"""Paths by which other gateways reach this owner and witness."""

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

OrderT = TypeVar('OrderT')
QUESTIONS = '|'.join(peer_client.Question)


class RunOncePeerRoutes:
    """Handlers of the messages between gateways.

    Parameters
    ----------
    key_state : KeyState
        What this gateway remembers.
    resolver : OutcomeResolver
        Asker of this owner.
    """

    __slots__ = ('_key_state', '_resolver')

    def __init__(self, key_state: KeyState, resolver: OutcomeResolver) -> None:
        """Keep the parts."""
        self._key_state = key_state
        self._resolver = resolver

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        prefix = peer_client.PATH_PREFIX
        for path, answer in (
            (peer_client.EPOCHS, self._open_epoch),
            (peer_client.INTENTS, self._record),
            (peer_client.OUTCOMES, self._copy),
            (f'{{question:{QUESTIONS}}}', self._ask),
        ):
            app.router.add_post(f'{prefix}/{path}', answer)

    async def _open_epoch(self, request: web.Request) -> web.Response:
        order = await _read(request, OpenEpoch)
        try:
            opened = self._key_state.witness.open_epoch(order)
        except WitnessFullError as full:
            raise KeysUnavailableError(str(full)) from full
        return render_message(opened)

    async def _record(self, request: web.Request) -> web.Response:
        order = await _read(request, RecordIntent)
        return render_message(
            IntentReply(self._key_state.witness.record(order))
        )

    async def _copy(self, request: web.Request) -> web.Response:
        order = await _read(request, CopyOutcome)
        self._key_state.witness.copy(order)
        return render_message(peer_client.Acknowledgement())

    async def _ask(self, request: web.Request) -> web.Response:
        order = await _read(request, AskOutcome)
        question = peer_client.Question(request.match_info['question'])
        return render_message(self._resolver.answer_locally(question, order))


async def _read(request: web.Request, kind: type[OrderT]) -> OrderT:
    return decode_message(await request.read(), kind, 'message')
