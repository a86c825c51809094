"""Finding out what became of a key."""

from baobabhinge_coordination.runonce import (
    AskOutcome,
    Outcome,
    Party,
    Reason,
    RunOnceKey,
    conclude,
    report_unknown,
)
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_gateway.runonce.peer_client import PeerRequestError, Question

RUNNING = report_unknown(Reason.running)
FORGED = report_unknown(Reason.expired)


class OutcomeResolver:
    """Ask the owner of a key, and its witness when the owner is silent.

    Parameters
    ----------
    key_state : KeyState
        What this gateway remembers.
    context : RunOnceContext
        Surroundings.
    """

    __slots__ = ('_context', '_key_state', '_peers')

    def __init__(self, key_state: KeyState, context: RunOnceContext) -> None:
        """Keep the parts."""
        self._key_state = key_state
        self._context = context
        self._peers = context.peers

    def answer_locally(self, question: Question, order: AskOutcome) -> Outcome:
        """Return what this gateway knows as owner or as witness."""
        if question is Question.witness_tells:
            return self._key_state.witness.tell(order)
        if question is Question.witness_seals:
            return self._key_state.witness.seal(order)
        if self._key_state.is_forged(order.key):
            return FORGED
        if question is Question.owner_tells:
            return self._key_state.owner.tell(order.key)
        return self._key_state.owner.close(order.key).outcome or RUNNING

    async def look_up(self, key: RunOnceKey) -> Outcome:
        """Return what owner or witness know, and change nothing."""
        order = AskOutcome(key)
        told = await self._ask(Question.owner_tells, key.owner, order)
        if told is not None:
            return told
        told = await self._ask(Question.witness_tells, key.witness, order)
        return conclude(told)

    async def close(self, key: RunOnceKey) -> Outcome:
        """Return the outcome; a key that was not used is closed."""
        order = AskOutcome(key)
        told = await self._ask(Question.owner_closes, key.owner, order)
        if told is not None:
            return told
        return await self.seal(order)

    async def seal(self, order: AskOutcome) -> Outcome:
        """Ask the witness of the key, which seals an unused key."""
        witness = order.key.witness
        return conclude(
            await self._ask(Question.witness_seals, witness, order),
        )

    async def _ask(
        self,
        question: Question,
        party: Party | None,
        order: AskOutcome,
    ) -> Outcome | None:
        """Return what ``party`` says; ``None`` if it is silent or has ended."""
        if party is None:
            return None
        told = await self._pass_on(question, party, order)
        is_lost = told is not None and told.reason is Reason.owner_lost
        return None if is_lost else told

    async def _pass_on(
        self,
        question: Question,
        party: Party,
        order: AskOutcome,
    ) -> Outcome | None:
        if party.vm == self._key_state.party.vm:
            return self.answer_locally(question, order)
        vm = self._context.find_party_gateway(order.key, party)
        if vm is None:
            return None
        try:
            return await self._peers.ask(vm.address, question, order)
        except PeerRequestError:
            return None
