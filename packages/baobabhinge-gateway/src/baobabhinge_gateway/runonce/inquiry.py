"""Finding out what became of a key."""

from baobabhinge_coordination.runonce import (
    AskOutcome,
    OutcomeReason,
    Party,
    RunOnceKey,
    RunOnceOutcome,
    build_unknown_outcome,
    resolve_without_owner,
)
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_gateway.runonce.memory import RunOnceMemory
from baobabhinge_gateway.runonce.peerclient import PeerSilentError, Question

RUNNING = build_unknown_outcome(OutcomeReason.running)
FORGED = build_unknown_outcome(OutcomeReason.expired)


class Inquirer:
    """Ask the owner of a key, and its witness when the owner is silent.

    Parameters
    ----------
    memory : RunOnceMemory
        What this gateway remembers.
    environment : Environment
        Surroundings.
    """

    __slots__ = ('_environment', '_memory', '_peers')

    def __init__(self, memory: RunOnceMemory, environment: Environment) -> None:
        """Keep the parts."""
        self._memory = memory
        self._environment = environment
        self._peers = environment.peers

    def ask_here(self, question: Question, order: AskOutcome) -> RunOnceOutcome:
        """Return what this gateway knows as owner or as witness."""
        if question is Question.witness_tells:
            return self._memory.witness.look_up(order)
        if question is Question.witness_seals:
            return self._memory.witness.seal(order)
        if self._memory.is_forged(order.key):
            return FORGED
        if question is Question.owner_tells:
            return self._memory.owner.look_up(order.key)
        return self._memory.owner.close(order.key).outcome or RUNNING

    async def tell(self, key: RunOnceKey) -> RunOnceOutcome:
        """Return what owner or witness know, and change nothing."""
        order = AskOutcome(key)
        told = await self._ask(Question.owner_tells, key.owner, order)
        if told is not None:
            return told
        told = await self._ask(Question.witness_tells, key.witness, order)
        return resolve_without_owner(told)

    async def close(self, key: RunOnceKey) -> RunOnceOutcome:
        """Return the outcome; a key that was not used is closed."""
        order = AskOutcome(key)
        told = await self._ask(Question.owner_closes, key.owner, order)
        if told is not None:
            return told
        return await self.seal(order)

    async def seal(self, order: AskOutcome) -> RunOnceOutcome:
        """Ask the witness of the key, which seals an unused key."""
        witness = order.key.witness
        return resolve_without_owner(
            await self._ask(Question.witness_seals, witness, order),
        )

    async def _ask(
        self,
        question: Question,
        party: Party | None,
        order: AskOutcome,
    ) -> RunOnceOutcome | None:
        """Return what ``party`` says; ``None`` if it is silent or has ended."""
        if party is None:
            return None
        told = await self._pass_on(question, party, order)
        is_lost = told is not None and told.reason is OutcomeReason.owner_lost
        return None if is_lost else told

    async def _pass_on(
        self,
        question: Question,
        party: Party,
        order: AskOutcome,
    ) -> RunOnceOutcome | None:
        if party.vm == self._memory.party.vm:
            return self.ask_here(question, order)
        vm = self._environment.find_party(order.key, party)
        if vm is None:
            return None
        try:
            return await self._peers.ask(vm.address, question, order)
        except PeerSilentError:
            return None
