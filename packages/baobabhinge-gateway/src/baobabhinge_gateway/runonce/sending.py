"""Handing a run-once call to a backend server, once."""

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
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_platform.machines import Vm

NO_TIME = timedelta()


class RunOnceSender:
    """Send a call to backend servers of this region until one is reached.

    Parameters
    ----------
    environment : Environment
        Surroundings.
    """

    __slots__ = ('_environment',)

    def __init__(self, environment: Environment) -> None:
        """Keep the surroundings."""
        self._environment = environment

    async def send(self, call: Call) -> RunOnceOutcome:
        """Run ``call`` at most once and return its outcome."""
        for vm in self._list_servers(call):
            sent = await self._try(call, vm)
            if isinstance(sent, KeptAnswer):
                return build_answered_outcome(sent)
            if not may_try_another_server(sent):
                return DISPATCH_FAILURE_OUTCOMES[sent]
        return DISPATCH_FAILURE_OUTCOMES[DispatchFailure.not_reached]

    def _list_servers(self, call: Call) -> Sequence[Vm]:
        fleet = self._environment.fleet
        return fleet.list_backends(call.service.name, fleet.home.region)

    async def _try(self, call: Call, vm: Vm) -> KeptAnswer | DispatchFailure:
        now = self._environment.clock.read_monotonic()
        rest = call.terms.deadline - now
        if rest <= NO_TIME:
            return DispatchFailure.deadline_passed
        try:
            return await self._exchange(call, vm, rest)
        except NotReachedError:
            return DispatchFailure.not_reached
        except CallError:
            return DispatchFailure.broken

    async def _exchange(
        self,
        call: Call,
        vm: Vm,
        rest: timedelta,
    ) -> KeptAnswer:
        target = RoutingTarget(vm, is_remote=False, in_flight=0)
        exchange = open_exchange(
            self._environment.http,
            build_outbound(call, target, rest),
        )
        async with exchange as answer:
            answer.check_request_id(call.request_id)
            body = await answer.read_whole()
            return KeptAnswer(answer.status, answer.headers, body)
