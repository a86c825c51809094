"""Telling the witness of a key what its owner does."""

import asyncio

from baobabhinge_coordination.runonce import (
    CopyOutcome,
    IntentVerdict,
    Outcome,
    RecordIntent,
    RunOnceKey,
)
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.epoch_renewal import EpochRenewer
from baobabhinge_gateway.runonce.peer_client import PeerRequestError

LOST_WITNESS = frozenset((None, IntentVerdict.refused))


class WitnessRecorder:
    """Record intents and copy outcomes.

    Parameters
    ----------
    context : RunOnceContext
        Surroundings.
    renewer : EpochRenewer
        Told when a witness is lost.
    """

    __slots__ = ('_context', '_copies', '_peers', '_renewer')

    def __init__(
        self,
        context: RunOnceContext,
        renewer: EpochRenewer,
    ) -> None:
        """Keep the parts."""
        self._copies: set[asyncio.Task[None]] = set()
        self._context = context
        self._peers = context.peers
        self._renewer = renewer

    async def record(
        self,
        key: RunOnceKey,
        digest: str,
    ) -> IntentVerdict | None:
        """Return the witness's verdict, or ``None`` if it is silent."""
        verdict = await self._record(key, digest)
        if verdict in LOST_WITNESS:
            self._renewer.request_new_witness()
        return verdict

    def copy_later(self, key: RunOnceKey, outcome: Outcome) -> None:
        """Tell the witness how a call ended; losing the copy is safe."""
        copy = asyncio.create_task(self._copy(key, outcome))
        self._copies.add(copy)
        copy.add_done_callback(self._copies.discard)

    async def finish(self) -> None:
        """Wait for the copies that are on their way."""
        await asyncio.gather(*self._copies)

    async def _copy(self, key: RunOnceKey, outcome: Outcome) -> None:
        vm = self._context.find_party_gateway(key, key.witness)
        if vm is None:
            return
        try:
            await self._peers.copy_outcome(
                vm.address, CopyOutcome(key, outcome)
            )
        except PeerRequestError:
            self._renewer.request_new_witness()

    async def _record(
        self,
        key: RunOnceKey,
        digest: str,
    ) -> IntentVerdict | None:
        vm = self._context.find_party_gateway(key, key.witness)
        if vm is None:
            return None
        try:
            reply = await self._peers.record_intent(
                vm.address, RecordIntent(key, digest)
            )
        except PeerRequestError:
            return None
        return reply.verdict
