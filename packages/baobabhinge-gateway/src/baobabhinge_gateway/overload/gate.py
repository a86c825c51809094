"""Gate that refuses calls while the gateway itself is behind."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from random import Random

from baobabhinge_gateway.deployment import Route
from baobabhinge_gateway.forwarding.call import Call, CallHead
from baobabhinge_gateway.forwarding.problems import GatewayBusyError
from baobabhinge_gateway.forwarding.shedding import compute_retry_after
from baobabhinge_gateway.overload.load import ProcessLoad

# Retries come back when a queue of this length has been worked off, up to
# twice as late while nearly all calls are refused.
RETRY_DELAY = timedelta(milliseconds=500)
# A call that was held for longer would be answered too late.
MAX_HELD_FRACTION = 0.5


class OverloadGate:
    """Refuse calls that the process can't place in time.

    Parameters
    ----------
    load : ProcessLoad
        How far the process is behind.
    random : Random
        Generator that spreads the retries of callers.
    """

    __slots__ = ('_load', '_random')

    def __init__(self, load: ProcessLoad, random: Random) -> None:
        """Store the collaborators."""
        self._load = load
        self._random = random

    def check_head(self, head: CallHead, route: Route) -> None:
        """Refuse a request before its body is read.

        Raises
        ------
        GatewayBusyError
            If the process is behind, and the request is not among those that
            it admits.
        """
        if not self._load.take(route.priority, route.objective):
            raise self._build_refusal('arrival')

    @asynccontextmanager
    async def admit(self, call: Call) -> AsyncIterator[None]:
        """Refuse a call that was held for too long.

        Raises
        ------
        GatewayBusyError
            If it was, while the process is behind.
        """
        held = self._load.measure_held(call.arrival)
        if held > call.route.objective * MAX_HELD_FRACTION:
            raise self._build_refusal('held')
        yield

    def _build_refusal(self, stage: str) -> GatewayBusyError:
        self._load.metrics.refused.labels(stage).inc()
        delay = RETRY_DELAY * (2 - self._load.admitted)
        return GatewayBusyError(
            'the gateway is behind with its work',
            compute_retry_after(delay, self._random),
        )
