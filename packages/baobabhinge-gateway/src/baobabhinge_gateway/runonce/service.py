"""The parts of one gateway that deal with run-once calls."""

from mode import Service

from baobabhinge_gateway.runonce.binding import KeyBinder
from baobabhinge_gateway.runonce.binding_sweeper import (
    BindingSweeper,
    SweepService,
)
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.epoch_renewal import EpochRenewer
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_gateway.runonce.outcome_resolver import OutcomeResolver
from baobabhinge_gateway.runonce.owner_forwarder import OwnerForwarder
from baobabhinge_gateway.runonce.owner_runner import OwnerRunner
from baobabhinge_gateway.runonce.sender import RunOnceSender
from baobabhinge_gateway.runonce.witness_recorder import WitnessRecorder


class RunOnceService(Service):
    """Everything behind the run-once executor.

    Parameters
    ----------
    context : RunOnceContext
        Surroundings.
    key_state : KeyState
        What this gateway remembers.
    binder : KeyBinder
        Keys for callers with an Idempotency-Key.
    sweeper : BindingSweeper
        Remover of their bindings.

    Attributes
    ----------
    key_state, binder
        The parameters.
    forwarder : OwnerForwarder
        Way to owners.
    resolver : OutcomeResolver
        Way to what became of a key.
    runner : OwnerRunner
        Runner of the calls of own keys.
    """

    def __init__(
        self,
        context: RunOnceContext,
        key_state: KeyState,
        binder: KeyBinder,
        sweeper: BindingSweeper,
    ) -> None:
        """Build the parts; start nothing yet."""
        super().__init__()
        self.key_state = key_state
        self.binder = binder
        self.forwarder = OwnerForwarder(context)
        self.resolver = OutcomeResolver(self.key_state, context)
        self._sweeping = SweepService(sweeper, context.fleet)
        self._renewer = EpochRenewer(self.key_state, context)
        self.runner = OwnerRunner(
            self.key_state.owner,
            WitnessRecorder(context, self._renewer),
            RunOnceSender(context),
            context.clock,
        )

    async def on_start(self) -> None:
        """Start keeping a witness and sweeping."""
        await self.add_runtime_dependency(self._sweeping)
        await self.add_runtime_dependency(self._renewer)
        await self.add_runtime_dependency(self.runner)
