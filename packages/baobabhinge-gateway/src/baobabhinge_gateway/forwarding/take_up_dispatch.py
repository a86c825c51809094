"""Dispatching of callers' requests, which may take streams up."""

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.protocols import CallDispatcher, Responder
from baobabhinge_gateway.forwarding.take_ups import TakeUps


class TakeUpDispatcher:
    """Bind streams that callers take up to where they began.

    Parameters
    ----------
    take_ups : TakeUps
        Finds where they began.
    dispatcher : CallDispatcher
        Answers the calls.
    """

    __slots__ = ('_dispatcher', '_take_ups')

    def __init__(self, take_ups: TakeUps, dispatcher: CallDispatcher) -> None:
        """Store the collaborators."""
        self._take_ups = take_ups
        self._dispatcher = dispatcher

    async def serve(self, call: Call, responder: Responder) -> None:
        """Answer ``call`` through ``responder``; see `CallDispatcher`."""
        await self._take_ups.resolve(call)
        await self._dispatcher.serve(call, responder)
