"""Queries for the outcome of a run-once key."""

from baobabhinge_coordination.runonce import (
    AskOutcome,
    OutcomeReason,
    Party,
    RunOnceKey,
    RunOnceOutcome,
    build_unknown_outcome,
    resolve_without_owner,
)
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_gateway.runonce.peer_client import PeerRequestError, Question

RUNNING_OUTCOME = build_unknown_outcome(OutcomeReason.running)
FORGED_KEY_OUTCOME = build_unknown_outcome(OutcomeReason.expired)


class OutcomeResolver:
    """Ask the owner of a key, and its witness if the owner does not answer.

    Parameters
    ----------
    key_state : KeyState
        Keys and epochs of this gateway.
    context : RunOnceContext
        Shared collaborators.
    """

    __slots__ = ('_context', '_key_state', '_peers')

    def __init__(self, key_state: KeyState, context: RunOnceContext) -> None:
        """Store the collaborators; no gateway is asked yet."""
        self._key_state = key_state
        self._context = context
        self._peers = context.peers

    def answer_locally(
        self, question: Question, message: AskOutcome
    ) -> RunOnceOutcome:
        """Return the answer of this gateway as owner or as witness."""
        if question is Question.witness_look_up:
            return self._key_state.witness.look_up(message)
        if question is Question.witness_seal:
            return self._key_state.witness.seal(message)
        if self._key_state.is_forged(message.key):
            return FORGED_KEY_OUTCOME
        if question is Question.owner_look_up:
            return self._key_state.owner.look_up(message.key)
        return (
            self._key_state.owner.close(message.key).outcome or RUNNING_OUTCOME
        )

    async def look_up(self, key: RunOnceKey) -> RunOnceOutcome:
        """Return the outcome known to owner or witness; close no key."""
        message = AskOutcome(key)
        outcome = await self._query(Question.owner_look_up, key.owner, message)
        if outcome is not None:
            return outcome
        outcome = await self._query(
            Question.witness_look_up, key.witness, message
        )
        return resolve_without_owner(outcome)

    async def close(self, key: RunOnceKey) -> RunOnceOutcome:
        """Return the outcome after closing the key if it was not used."""
        message = AskOutcome(key)
        outcome = await self._query(Question.owner_close, key.owner, message)
        if outcome is not None:
            return outcome
        return await self.seal(message)

    async def seal(self, message: AskOutcome) -> RunOnceOutcome:
        """Return the outcome that the witness knows; it seals an unused key."""
        witness = message.key.witness
        return resolve_without_owner(
            await self._query(Question.witness_seal, witness, message),
        )

    async def _query(
        self,
        question: Question,
        party: Party | None,
        message: AskOutcome,
    ) -> RunOnceOutcome | None:
        """Return the answer of ``party``.

        Return ``None`` if it does not answer or its process has ended.
        """
        if party is None:
            return None
        outcome = await self._send_query(question, party, message)
        is_lost = (
            outcome is not None and outcome.reason is OutcomeReason.owner_lost
        )
        return None if is_lost else outcome

    async def _send_query(
        self,
        question: Question,
        party: Party,
        message: AskOutcome,
    ) -> RunOnceOutcome | None:
        if party.vm == self._key_state.party.vm:
            return self.answer_locally(question, message)
        vm = self._context.find_party_gateway(message.key, party)
        if vm is None:
            return None
        try:
            return await self._peers.ask(vm.address, question, message)
        except PeerRequestError:
            return None
