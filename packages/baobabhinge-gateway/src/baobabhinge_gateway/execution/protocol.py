"""Interface of executors, and selection of the executor for a call."""

from typing import Protocol

from aiohttp import web

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.execution.counters import CallCounters
from baobabhinge_settings.model import ServiceKind

# Request key: true if the executor knows whether a refused call has run.
OUTCOME_KNOWN = 'executed'


class Executor(Protocol):
    """Interface of an executor, which runs calls of one kind."""

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` and return the response to ``request``.

        Raises
        ------
        CallError
            If no complete answer was received.
        """


class Executors:
    """Executors by kind of call.

    Parameters
    ----------
    model : Executor
        Executor of completions.
    plain : Executor
        Executor of calls to plain services that may be repeated.
    run_once : Executor
        Executor of calls to plain services that may not be repeated.
    counters : CallCounters
        Counters that the executors update.

    Attributes
    ----------
    counters : CallCounters
        Counters that the executors update.
    """

    __slots__ = ('_model', '_plain', '_run_once', 'counters')

    def __init__(
        self,
        model: Executor,
        plain: Executor,
        run_once: Executor,
        counters: CallCounters,
    ) -> None:
        """Store one executor for each kind of call."""
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
