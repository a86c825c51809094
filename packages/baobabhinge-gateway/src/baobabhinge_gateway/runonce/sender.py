"""Handing a run-once call to a backend server, once."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_coordination.runonce import (
    END_OUTCOMES,
    DispatchEnd,
    KeptAnswer,
    Outcome,
    may_try_another,
    report_answered,
)
from baobabhinge_gateway.backends import open_exchange
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import CallError, NotReachedError
from baobabhinge_gateway.routing import RoutingTarget
from baobabhinge_gateway.routing.outbound import build_outbound
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_platform.machines import Vm

NO_TIME = timedelta()


class RunOnceSender:
    """Send a call to backend servers of this region until one is reached.

    Parameters
    ----------
    context : RunOnceContext
        Surroundings.
    """

    __slots__ = ('_context',)

    def __init__(self, context: RunOnceContext) -> None:
        """Keep the surroundings."""
        self._context = context

    async def send(self, call: Call) -> Outcome:
        """Run ``call`` at most once and return its outcome."""
        for vm in self._list_servers(call):
            sent = await self._try(call, vm)
            if isinstance(sent, KeptAnswer):
                return report_answered(sent)
            if not may_try_another(sent):
                return END_OUTCOMES[sent]
        return END_OUTCOMES[DispatchEnd.not_reached]

    def _list_servers(self, call: Call) -> Sequence[Vm]:
        fleet = self._context.fleet
        return fleet.list_backends(call.service.name, fleet.home.region)

    async def _try(self, call: Call, vm: Vm) -> KeptAnswer | DispatchEnd:
        now = self._context.clock.read_monotonic()
        rest = call.terms.deadline - now
        if rest <= NO_TIME:
            return DispatchEnd.deadline_passed
        try:
            return await self._exchange(call, vm, rest)
        except NotReachedError:
            return DispatchEnd.not_reached
        except CallError:
            return DispatchEnd.broken

    async def _exchange(
        self,
        call: Call,
        vm: Vm,
        rest: timedelta,
    ) -> KeptAnswer:
        target = RoutingTarget(vm, is_remote=False, in_flight=0)
        exchange = open_exchange(
            self._context.http,
            build_outbound(call, target, rest),
        )
        async with exchange as answer:
            answer.check_request_id(call.request_id)
            body = await answer.read_whole()
            return KeptAnswer(answer.status, answer.headers, body)
