"""Limits set by operators on the calls that executors run."""

from aiohttp import web

from baobabhinge_gateway.admission import Quotas
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.execution.protocol import Executor
from baobabhinge_gateway.routing import RoutingRules


class LimitedExecutor:
    """Executor that enforces the limits of service and workspace.

    Only the first gateway that a call passes counts it.

    Parameters
    ----------
    executor : Executor
        Executor that runs the admitted calls.
    quotas : Quotas
        Call counts of this gateway.
    rules : RoutingRules
        Rules of the configuration in force.
    """

    __slots__ = ('_executor', '_quotas', '_rules')

    def __init__(
        self,
        executor: Executor,
        quotas: Quotas,
        rules: RoutingRules,
    ) -> None:
        """Store the wrapped executor and its limits."""
        self._executor = executor
        self._quotas = quotas
        self._rules = rules

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` and return the response to ``request``.

        Raises
        ------
        LimitReachedError
            If a limit is reached; the call has not run.
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
    """Factory of limited executors that share one set of counts.

    Parameters
    ----------
    quotas : Quotas
        Call counts of this gateway.
    rules : RoutingRules
        Rules of the configuration in force.
    """

    __slots__ = ('_quotas', '_rules')

    def __init__(self, quotas: Quotas, rules: RoutingRules) -> None:
        """Store the shared counts and the rules."""
        self._quotas = quotas
        self._rules = rules

    def wrap(self, executor: Executor) -> LimitedExecutor:
        """Return an executor that applies the limits to ``executor``."""
        return LimitedExecutor(executor, self._quotas, self._rules)
