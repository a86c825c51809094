"""Paths by which other gateways reach this owner and witness."""

from typing import TypeVar

import msgspec
from aiohttp import web

from baobabhinge_coordination.runonce import (
    AskOutcome,
    CopyOutcome,
    IntentReply,
    OpenEpoch,
    RecordIntent,
    WitnessFullError,
)
from baobabhinge_gateway.errors import (
    KeysUnavailableError,
    MalformedCallError,
)
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
        return _render(opened)

    async def _record(self, request: web.Request) -> web.Response:
        order = await _read(request, RecordIntent)
        return _render(IntentReply(self._memory.witness.record(order)))

    async def _copy(self, request: web.Request) -> web.Response:
        order = await _read(request, CopyOutcome)
        self._memory.witness.copy(order)
        return _render(peerclient.Done())

    async def _ask(self, request: web.Request) -> web.Response:
        order = await _read(request, AskOutcome)
        question = peerclient.Question(request.match_info['question'])
        return _render(self._inquirer.ask_here(question, order))


async def _read(request: web.Request, kind: type[OrderT]) -> OrderT:
    body = await request.read()
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as bad:
        raise MalformedCallError('the message is malformed') from bad


def _render(message: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(message),
        content_type='application/json',
    )
