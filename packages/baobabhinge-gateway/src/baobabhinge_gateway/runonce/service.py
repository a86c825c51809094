"""Service that holds and starts the run-once components of a gateway."""

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
    """Hold and start the components that the run-once executor uses.

    Parameters
    ----------
    context : RunOnceContext
        Shared collaborators.
    key_state : KeyState
        Mint, owner and witness of this gateway.
    binder : KeyBinder
        Finds the run-once key of an Idempotency-Key.
    sweeper : BindingSweeper
        Removes old bindings of Idempotency-Keys.

    Attributes
    ----------
    key_state, binder
        The parameters.
    forwarder : OwnerForwarder
        Sends attempts to owners on other gateways.
    resolver : OutcomeResolver
        Asks owners and witnesses for the outcome of a key.
    runner : OwnerRunner
        Runs the calls of keys that this gateway owns.
    """

    def __init__(
        self,
        context: RunOnceContext,
        key_state: KeyState,
        binder: KeyBinder,
        sweeper: BindingSweeper,
    ) -> None:
        """Create the components; `on_start` starts the services among them."""
        super().__init__()
        self.key_state = key_state
        self.binder = binder
        self.forwarder = OwnerForwarder(context)
        self.resolver = OutcomeResolver(self.key_state, context)
        self._sweep_service = SweepService(sweeper, context.fleet)
        self._renewer = EpochRenewer(self.key_state, context)
        self.runner = OwnerRunner(
            self.key_state.owner,
            WitnessRecorder(context, self._renewer),
            RunOnceSender(context),
            context.clock,
        )

    async def on_start(self) -> None:
        """Start the sweeper, the renewal of epochs and the runner."""
        await self.add_runtime_dependency(self._sweep_service)
        await self.add_runtime_dependency(self._renewer)
        await self.add_runtime_dependency(self.runner)
