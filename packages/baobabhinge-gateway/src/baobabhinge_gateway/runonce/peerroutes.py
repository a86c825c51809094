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
from baobabhinge_gateway.runonce.state import RunOnceState

OrderT = TypeVar('OrderT')


class PeerRoutes:
    """Handlers of the messages between gateways.

    Parameters
    ----------
    state : RunOnceState
        What this gateway remembers.
    inquirer : Inquirer
        Asker of this owner.
    """

    __slots__ = ('_inquirer', '_state')

    def __init__(self, state: RunOnceState, inquirer: Inquirer) -> None:
        """Keep the parts."""
        self._state = state
        self._inquirer = inquirer

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        prefix = peerclient.PATH_PREFIX
        for path, answer in (
            (peerclient.EPOCHS, self._open_epoch),
            (peerclient.INTENTS, self._record),
            (peerclient.OUTCOMES, self._copy),
            (peerclient.ASKED_OWNER, self._ask_owner),
            (peerclient.ASKED_WITNESS, self._ask_witness),
        ):
            app.router.add_post(f'{prefix}/{path}', answer)

    async def _open_epoch(self, request: web.Request) -> web.Response:
        order = await _read(request, OpenEpoch)
        try:
            opened = self._state.witness.open_epoch(order)
        except WitnessFullError as full:
            raise KeysUnavailableError(str(full)) from full
        return _render(opened)

    async def _record(self, request: web.Request) -> web.Response:
        order = await _read(request, RecordIntent)
        return _render(IntentReply(self._state.witness.record(order)))

    async def _copy(self, request: web.Request) -> web.Response:
        order = await _read(request, CopyOutcome)
        self._state.witness.copy(order)
        return _render(peerclient.Done())

    async def _ask_owner(self, request: web.Request) -> web.Response:
        order = await _read(request, AskOutcome)
        return _render(self._inquirer.ask_here(order.key))

    async def _ask_witness(self, request: web.Request) -> web.Response:
        order = await _read(request, AskOutcome)
        return _render(self._state.witness.ask(order))


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
