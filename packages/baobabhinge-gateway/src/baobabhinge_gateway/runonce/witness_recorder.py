"""Reports of an owner to the witnesses of its keys."""

import asyncio

from baobabhinge_coordination.runonce import (
    CopyOutcome,
    IntentVerdict,
    RecordIntent,
    RunOnceKey,
    RunOnceOutcome,
)
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.epoch_renewal import EpochRenewer
from baobabhinge_gateway.runonce.peer_client import PeerRequestError

LOST_WITNESS_VERDICTS = frozenset((None, IntentVerdict.refused))


class WitnessRecorder:
    """Record intents, and copies of outcomes, at the witness of a key.

    Parameters
    ----------
    context : RunOnceContext
        Shared collaborators.
    renewer : EpochRenewer
        Opens an epoch at another witness when one is lost.
    """

    __slots__ = ('_context', '_copies', '_peers', '_renewer')

    def __init__(
        self,
        context: RunOnceContext,
        renewer: EpochRenewer,
    ) -> None:
        """Start without copies to send."""
        self._copies: set[asyncio.Task[None]] = set()
        self._context = context
        self._peers = context.peers
        self._renewer = renewer

    async def record(
        self,
        key: RunOnceKey,
        digest: str,
    ) -> IntentVerdict | None:
        """Return the verdict of the witness.

        Return ``None`` if the witness is not known or does not answer.
        """
        verdict = await self._record(key, digest)
        if verdict in LOST_WITNESS_VERDICTS:
            self._renewer.request_new_witness()
        return verdict

    def copy_later(self, key: RunOnceKey, outcome: RunOnceOutcome) -> None:
        """Send ``outcome`` to the witness in the background.

        Losing the copy is safe: the witness then reports the outcome of the
        key as unknown, and only if the owner does not answer.
        """
        task = asyncio.create_task(self._send_copy(key, outcome))
        self._copies.add(task)
        task.add_done_callback(self._copies.discard)

    async def finish(self) -> None:
        """Wait until all copies are sent or have failed."""
        await asyncio.gather(*self._copies)

    async def _send_copy(
        self, key: RunOnceKey, outcome: RunOnceOutcome
    ) -> None:
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
