"""Detection of engine crashes and of the calls in flight at the time."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.suspects import SuspectLedger
from baobabhinge_gateway.errors import (
    AnswerBrokenError,
    AnswerTruncatedError,
    EngineCrashedError,
)
from baobabhinge_gateway.suspects.engine_probe import (
    ProbeResult,
    probe_engine,
    wait_for_end,
)
from baobabhinge_platform.machines import Vm

log = structlog.get_logger(__name__)


class CrashDetector:
    """Track the calls in flight at each engine, and detect its crashes.

    Parameters
    ----------
    ledger : SuspectLedger
        Where crashes are recorded.
    urgent : asyncio.Event
        Set after a crash, so that heartbeats report it at once.
    clock : Clock
        Clock that bounds the wait for the end of an engine.
    """

    __slots__ = ('_clock', '_in_flight', '_ledger', '_urgent')

    def __init__(
        self,
        ledger: SuspectLedger,
        urgent: asyncio.Event,
        clock: Clock,
    ) -> None:
        """Start without calls in flight."""
        self._clock = clock
        self._ledger = ledger
        self._urgent = urgent
        self._in_flight: defaultdict[str, list[str]] = defaultdict(list)

    @contextmanager
    def track(self, vm: Vm, fingerprint: str) -> Iterator[None]:
        """Record one call as in flight at ``vm`` while the context is open."""
        running = self._in_flight[vm.name]
        running.append(fingerprint)
        try:
            yield
        finally:
            running.remove(fingerprint)

    @asynccontextmanager
    async def detect_crash(self, vm: Vm) -> AsyncIterator[None]:
        """Check whether the engine on ``vm`` has ended when an answer breaks.

        An engine that reset or closed the connection may take a while to end
        and is probed until then.

        The failed call is still recorded as in flight, like all others whose
        answers broke at the same time.

        Raises
        ------
        EngineCrashedError
            If the engine has ended; its calls in flight are recorded in the
            ledger.
        """
        try:
            yield
        except AnswerBrokenError as failure:
            if not await self._has_ended(vm, failure):
                raise
            self._record(vm)
            raise EngineCrashedError(
                'the engine crashed while it ran the request'
            ) from failure

    def _record(self, vm: Vm) -> None:
        self._ledger.record(vm.name, self._in_flight[vm.name])
        self._urgent.set()
        log.warning(
            'engine-crashed',
            engine=vm.name,
            suspects=len(self._in_flight[vm.name]),
        )

    async def _has_ended(self, vm: Vm, failure: AnswerBrokenError) -> bool:
        if isinstance(failure, AnswerTruncatedError):
            return await wait_for_end(vm.address, self._clock)
        return await probe_engine(vm.address) is ProbeResult.dead
