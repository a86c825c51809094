"""Running one request through the batch."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from baobabhinge_standins.engine.batch import Batch
from baobabhinge_standins.engine.cache import (
    Listener,
    PrefixCache,
    list_prefixes,
)
from baobabhinge_standins.engine.ending import Ending
from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.engine.journal import (
    CANCELLED,
    FINISHED,
    EngineRun,
)
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.engine.options import EngineOptions
from baobabhinge_standins.journal import Journal

CRASH_MARK = '!!crash-engine!!'


class Runner:
    """Run requests and write the journal.

    Parameters
    ----------
    batch : Batch
        Slots and timing.
    cache : PrefixCache
        Cached prefixes.
    journal : Journal
        Runs of this engine.

    Attributes
    ----------
    ending : Ending
        What a crashing request does.
    """

    __slots__ = ('_batch', '_cache', 'ending', 'journal')

    def __init__(
        self,
        batch: Batch,
        cache: PrefixCache,
        journal: Journal[EngineRun],
    ) -> None:
        """Keep the parts."""
        self.ending = Ending()
        self._batch = batch
        self._cache = cache
        self.journal = journal

    @asynccontextmanager
    async def enter(
        self,
        order: EngineRequest,
        request_id: str,
        faults: EngineFaults,
        version: str = '',
    ) -> AsyncIterator[EngineRun]:
        """Hold a slot of the batch for one request, prefilled.

        A prompt with the crash mark ends the process, and with it every
        request of the batch.
        """
        await asyncio.sleep(faults.late_seconds)
        async with self._batch.hold_slot(order.priority):
            run = self._write(order, request_id, version)
            if CRASH_MARK in run.prompt:
                await self.ending.crash(faults)
            try:
                yield await self._prefill(run, faults)
            finally:
                run.state = _get_end(run, order)

    async def generate(
        self,
        order: EngineRequest,
        run: EngineRun,
        faults: EngineFaults,
    ) -> AsyncIterator[str]:
        """Yield the tokens one by one."""
        for index in range(order.resume_from, order.max_tokens):
            if run.tokens == faults.stall_after_tokens:
                await asyncio.Event().wait()
            await self._batch.decode(faults.slowdown)
            run.tokens += 1
            yield order.generate_token(index)

    def _write(
        self,
        order: EngineRequest,
        request_id: str,
        version: str,
    ) -> EngineRun:
        prompt = order.join_prompt()
        prefixes = list_prefixes(order.model, prompt)
        run = EngineRun(
            request_id,
            order.model,
            prompt,
            order.resume_from,
            self._cache.admit(prefixes),
            len(prefixes),
            version=version,
        )
        self.journal.add(run)
        return run

    async def _prefill(
        self,
        run: EngineRun,
        faults: EngineFaults,
    ) -> EngineRun:
        missing = run.prompt_blocks - run.cached_blocks
        await self._batch.prefill(missing, faults.slowdown)
        return run


def build_runner(
    options: EngineOptions,
    batch: Batch,
    listener: Listener,
) -> Runner:
    """Return a runner with a cold cache.

    Parameters
    ----------
    options : EngineOptions
        Size of the cache, and the file of the journal.
    batch : Batch
        Slots and timing.
    listener : callable
        Told of each block that is stored or evicted.
    """
    cache = PrefixCache(options.speed.cached_blocks, listener)
    return Runner(batch, cache, Journal(EngineRun, options.journal))


def _get_end(run: EngineRun, order: EngineRequest) -> str:
    wanted = order.max_tokens - order.resume_from
    return FINISHED if run.tokens >= wanted else CANCELLED
