"""Finding out what became of a key."""

from baobabhinge_coordination.runonce import (
    AskOutcome,
    Outcome,
    Place,
    Reason,
    RunOnceKey,
    conclude,
    locate_owner,
    report_unknown,
)
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_gateway.runonce.memory import RunOnceMemory
from baobabhinge_gateway.runonce.peerclient import PeerSilentError

RUNNING = report_unknown(Reason.running)
FORGED = report_unknown(Reason.expired)


class Inquirer:
    """Ask the owner of a key, and its witness when the owner is silent.

    Parameters
    ----------
    memory : RunOnceMemory
        What this gateway remembers.
    environment : Environment
        Surroundings.
    """

    __slots__ = ('_fleet', '_memory', '_peers')

    def __init__(self, memory: RunOnceMemory, environment: Environment) -> None:
        """Keep the parts."""
        self._memory = memory
        self._fleet = environment.fleet
        self._peers = environment.peers

    def ask_here(self, key: RunOnceKey) -> Outcome:
        """Return what this owner knows; an unused key is closed."""
        if self._memory.is_forged(key):
            return FORGED
        return self._memory.owner.ask(key).outcome or RUNNING

    async def ask(self, order: AskOutcome) -> Outcome:
        """Ask the owner, then the witness."""
        place = locate_owner(order.key, self._memory.party)
        if place is Place.here:
            return self.ask_here(order.key)
        if place is Place.elsewhere:
            told = await self._ask_owner(order)
            if told is not None and told.reason is not Reason.owner_lost:
                return told
        return await self.ask_witness(order)

    async def ask_witness(self, order: AskOutcome) -> Outcome:
        """Ask the witness of the key, which seals an unused key."""
        if order.key.witness is None:
            return conclude(None)
        if order.key.witness.vm == self._memory.party.vm:
            return conclude(self._memory.witness.ask(order))
        vm = self._fleet.find_gateway(order.key.witness.vm)
        if vm is None:
            return conclude(None)
        try:
            return conclude(await self._peers.ask_witness(vm.address, order))
        except PeerSilentError:
            return conclude(None)

    async def _ask_owner(self, order: AskOutcome) -> Outcome | None:
        vm = self._fleet.find_gateway(order.key.owner.vm)
        if vm is None:
            return None
        try:
            return await self._peers.ask_owner(vm.address, order)
        except PeerSilentError:
            return None
