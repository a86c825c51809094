"""Noticing that an engine has died, and who was in flight on it."""

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
    """Calls in flight by engine.

    Parameters
    ----------
    ledger : SuspectLedger
        Where crashes are recorded.
    urgent : asyncio.Event
        Set when the other gateways should hear of a crash at once.
    clock : Clock
        Clock of the time that the end of an engine may take.
    """

    __slots__ = ('_clock', '_in_flight', '_ledger', '_urgent')

    def __init__(
        self,
        ledger: SuspectLedger,
        urgent: asyncio.Event,
        clock: Clock,
    ) -> None:
        """Start with nothing in flight."""
        self._clock = clock
        self._ledger = ledger
        self._urgent = urgent
        self._in_flight: defaultdict[str, list[str]] = defaultdict(list)

    @contextmanager
    def track(self, vm: Vm, fingerprint: str) -> Iterator[None]:
        """Count one call at ``vm`` while the context is open."""
        running = self._in_flight[vm.name]
        running.append(fingerprint)
        try:
            yield
        finally:
            running.remove(fingerprint)

    @asynccontextmanager
    async def detect_crash(self, vm: Vm) -> AsyncIterator[None]:
        """Look whether ``vm`` dies when an exchange with it breaks.

        One that severed the connection may take a while to end.

        The call that failed is still counted, like every other one that
        broke with it.

        Raises
        ------
        EngineCrashedError
            If it dies; its calls are recorded.
        """
        try:
            yield
        except AnswerBrokenError as failure:
            if not await self._has_ended(vm, failure):
                raise
            self._record(vm)
            raise EngineCrashedError('the engine died') from failure

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
