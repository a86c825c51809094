"""Telling the witness of a key what its owner does."""

import asyncio

from baobabhinge_coordination.runonce import (
    CopyOutcome,
    IntentVerdict,
    RecordIntent,
    RunOnceKey,
    RunOnceOutcome,
)
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_gateway.runonce.keeping import WitnessKeeper
from baobabhinge_gateway.runonce.peerclient import PeerSilentError

LOST_WITNESS = frozenset((None, IntentVerdict.refused))


class Recorder:
    """Record intents and copy outcomes.

    Parameters
    ----------
    environment : Environment
        Surroundings.
    keeper : WitnessKeeper
        Told when a witness is lost.
    """

    __slots__ = ('_copies', '_environment', '_keeper', '_peers')

    def __init__(
        self,
        environment: Environment,
        keeper: WitnessKeeper,
    ) -> None:
        """Keep the parts."""
        self._copies: set[asyncio.Task[None]] = set()
        self._environment = environment
        self._peers = environment.peers
        self._keeper = keeper

    async def record(
        self,
        key: RunOnceKey,
        digest: str,
    ) -> IntentVerdict | None:
        """Return the witness's verdict, or ``None`` if it is silent."""
        verdict = await self._record(key, digest)
        if verdict in LOST_WITNESS:
            self._keeper.replace_witness()
        return verdict

    def copy_later(self, key: RunOnceKey, outcome: RunOnceOutcome) -> None:
        """Tell the witness how a call ended; losing the copy is safe."""
        copy = asyncio.create_task(self._copy(key, outcome))
        self._copies.add(copy)
        copy.add_done_callback(self._copies.discard)

    async def finish(self) -> None:
        """Wait for the copies that are on their way."""
        await asyncio.gather(*self._copies)

    async def _copy(self, key: RunOnceKey, outcome: RunOnceOutcome) -> None:
        vm = self._environment.find_party(key, key.witness)
        if vm is None:
            return
        try:
            await self._peers.copy(vm.address, CopyOutcome(key, outcome))
        except PeerSilentError:
            self._keeper.replace_witness()

    async def _record(
        self,
        key: RunOnceKey,
        digest: str,
    ) -> IntentVerdict | None:
        vm = self._environment.find_party(key, key.witness)
        if vm is None:
            return None
        try:
            reply = await self._peers.record(
                vm.address, RecordIntent(key, digest)
            )
        except PeerSilentError:
            return None
        return reply.verdict
