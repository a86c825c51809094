"""Operators' limits around the running of calls."""

from aiohttp import web

from baobabhinge_gateway.admission import Quotas
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.execution.protocol import Executor
from baobabhinge_gateway.routing import RoutingRules


class LimitedExecutor:
    """Run calls within the limits of their service and workspace.

    A call is counted by the first gateway that it passes, and by no other.

    Parameters
    ----------
    executor : Executor
        Runner of calls.
    quotas : Quotas
        Counts of this gateway.
    rules : RoutingRules
        What the configuration in force says.
    """

    __slots__ = ('_executor', '_quotas', '_rules')

    def __init__(
        self,
        executor: Executor,
        quotas: Quotas,
        rules: RoutingRules,
    ) -> None:
        """Keep the parts."""
        self._executor = executor
        self._quotas = quotas
        self._rules = rules

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` and answer ``request``.

        Raises
        ------
        LimitReachedError
            If a limit is reached; the call was not run.
        """
        if len(call.hops.hops) > 1:
            return await self._executor.execute(request, call)
        limits = self._rules.find_limits(
            call.service.name,
            call.terms.workspace,
        )
        with self._quotas.track(limits):
            return await self._executor.execute(request, call)


class ExecutorLimits:
    """One count of calls for all executors of a gateway.

    Parameters
    ----------
    quotas : Quotas
        Counts of this gateway.
    rules : RoutingRules
        What the configuration in force says.
    """

    __slots__ = ('_quotas', '_rules')

    def __init__(self, quotas: Quotas, rules: RoutingRules) -> None:
        """Keep the parts."""
        self._quotas = quotas
        self._rules = rules

    def wrap(self, executor: Executor) -> LimitedExecutor:
        """Return ``executor`` within the limits."""
        return LimitedExecutor(executor, self._quotas, self._rules)
