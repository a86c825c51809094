"""The interface of executors, and the choice among them."""

from typing import Protocol

from aiohttp import web

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.execution.counters import CallCounters
from baobabhinge_settings.model import ServiceKind

# Mark of a request whose executor knows the outcome of a refused attempt.
OUTCOME_KNOWN = 'executed'


class Executor(Protocol):
    """Run calls of one kind."""

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` and answer ``request``.

        Raises
        ------
        CallError
            If there is no whole answer.
        """


class Executors:
    """Executors by kind of call.

    Parameters
    ----------
    model : Executor
        For completions.
    plain : Executor
        For calls of plain services that may be repeated.
    run_once : Executor
        For calls of plain services that may not be repeated.
    counters : CallCounters
        What they count.
    """

    __slots__ = ('_model', '_plain', '_run_once', 'counters')

    def __init__(
        self,
        model: Executor,
        plain: Executor,
        run_once: Executor,
        counters: CallCounters,
    ) -> None:
        """Keep the executors."""
        self.counters = counters
        self._model = model
        self._plain = plain
        self._run_once = run_once

    def select(self, call: Call) -> Executor:
        """Return the executor for ``call``."""
        if call.service.kind is ServiceKind.model:
            return self._model
        if call.is_run_once:
            return self._run_once
        return self._plain
