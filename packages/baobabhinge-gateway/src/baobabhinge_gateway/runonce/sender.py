"""Sending of run-once calls to backend servers."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_coordination.runonce import (
    DISPATCH_FAILURE_OUTCOMES,
    DispatchFailure,
    KeptAnswer,
    RunOnceOutcome,
    build_answered_outcome,
    may_try_another_server,
)
from baobabhinge_gateway.backends import open_exchange
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import CallError, NotReachedError
from baobabhinge_gateway.routing import RoutingTarget
from baobabhinge_gateway.routing.outbound import build_outbound
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_platform.machines import Vm

ZERO_DURATION = timedelta()


class RunOnceSender:
    """Send a call to backend servers of the local region in turn.

    No other server is tried once one was reached, as the call may run there.

    Parameters
    ----------
    context : RunOnceContext
        Shared collaborators.
    """

    __slots__ = ('_context',)

    def __init__(self, context: RunOnceContext) -> None:
        """Store the shared collaborators."""
        self._context = context

    async def send(self, call: Call) -> RunOnceOutcome:
        """Run ``call`` at most once and return its outcome."""
        for vm in self._list_servers(call):
            dispatched = await self._dispatch(call, vm)
            if isinstance(dispatched, KeptAnswer):
                return build_answered_outcome(dispatched)
            if not may_try_another_server(dispatched):
                return DISPATCH_FAILURE_OUTCOMES[dispatched]
        return DISPATCH_FAILURE_OUTCOMES[DispatchFailure.not_reached]

    def _list_servers(self, call: Call) -> Sequence[Vm]:
        fleet = self._context.fleet
        return fleet.list_backends(call.service.name, fleet.own.region)

    async def _dispatch(
        self, call: Call, vm: Vm
    ) -> KeptAnswer | DispatchFailure:
        now = self._context.clock.read_monotonic()
        time_left = call.terms.deadline - now
        if time_left <= ZERO_DURATION:
            return DispatchFailure.deadline_passed
        try:
            return await self._exchange(call, vm, time_left)
        except NotReachedError:
            return DispatchFailure.not_reached
        except CallError:
            return DispatchFailure.broken

    async def _exchange(
        self,
        call: Call,
        vm: Vm,
        time_left: timedelta,
    ) -> KeptAnswer:
        target = RoutingTarget(vm, is_remote=False, in_flight=0)
        exchange = open_exchange(
            self._context.http,
            build_outbound(call, target, time_left),
        )
        async with exchange as answer:
            answer.check_request_id(call.request_id)
            body = await answer.read_complete()
            return KeptAnswer(answer.status, answer.headers, body)
