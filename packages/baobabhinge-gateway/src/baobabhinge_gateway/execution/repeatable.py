"""Calls that may be repeated: the first target that answers wins."""

from http import HTTPStatus

from aiohttp import web

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.execution.relay import write_stream, write_whole
from baobabhinge_gateway.routing import Dispatcher, Router


class RepeatableExecutor:
    """Dispatch a call along the ranked targets.

    Parameters
    ----------
    router : Router
        Finder of targets.
    dispatcher : Dispatcher
        Sender of calls.
    """

    __slots__ = ('_dispatcher', '_router')

    def __init__(self, router: Router, dispatcher: Dispatcher) -> None:
        """Keep the parts."""
        self._router = router
        self._dispatcher = dispatcher

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` and answer ``request``."""
        decision = self._router.decide(call)
        async with self._dispatcher.open_answer(call, decision) as answer:
            if call.streamed and answer.status == HTTPStatus.OK:
                return await write_stream(request, call, answer)
            return await write_whole(call, answer)
