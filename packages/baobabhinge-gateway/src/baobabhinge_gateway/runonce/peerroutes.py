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
from baobabhinge_gateway.runonce import peerclient
from baobabhinge_gateway.runonce.inquiry import Inquirer
from baobabhinge_gateway.runonce.memory import RunOnceMemory

OrderT = TypeVar('OrderT')
QUESTIONS = '|'.join(peerclient.Question)


class PeerRoutes:
    """Handlers of the messages between gateways.

    Parameters
    ----------
    memory : RunOnceMemory
        What this gateway remembers.
    inquirer : Inquirer
        Asker of this owner.
    """

    __slots__ = ('_inquirer', '_memory')

    def __init__(self, memory: RunOnceMemory, inquirer: Inquirer) -> None:
        """Keep the parts."""
        self._memory = memory
        self._inquirer = inquirer

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        prefix = peerclient.PATH_PREFIX
        for path, answer in (
            (peerclient.EPOCHS, self._open_epoch),
            (peerclient.INTENTS, self._record),
            (peerclient.OUTCOMES, self._copy),
            (f'{{question:{QUESTIONS}}}', self._ask),
        ):
            app.router.add_post(f'{prefix}/{path}', answer)

    async def _open_epoch(self, request: web.Request) -> web.Response:
        order = await _read(request, OpenEpoch)
        try:
            opened = self._memory.witness.open_epoch(order)
        except WitnessFullError as full:
            raise KeysUnavailableError(str(full)) from full
        return render_message(opened)

    async def _record(self, request: web.Request) -> web.Response:
        order = await _read(request, RecordIntent)
        return render_message(
            IntentReply(self._memory.witness.record_intent(order))
        )

    async def _copy(self, request: web.Request) -> web.Response:
        order = await _read(request, CopyOutcome)
        self._memory.witness.copy_outcome(order)
        return render_message(peerclient.Done())

    async def _ask(self, request: web.Request) -> web.Response:
        order = await _read(request, AskOutcome)
        question = peerclient.Question(request.match_info['question'])
        return render_message(self._inquirer.ask_here(question, order))


async def _read(request: web.Request, kind: type[OrderT]) -> OrderT:
    return decode_message(await request.read(), kind, 'message')
