"""The parts of one gateway that deal with run-once calls."""

from mode import Service

from baobabhinge_gateway.runonce.binding import KeyBinder
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_gateway.runonce.forwarding import OwnerForwarder
from baobabhinge_gateway.runonce.inquiry import Inquirer
from baobabhinge_gateway.runonce.keeping import WitnessKeeper
from baobabhinge_gateway.runonce.memory import RunOnceMemory
from baobabhinge_gateway.runonce.recorder import Recorder
from baobabhinge_gateway.runonce.running import OwnerRunner
from baobabhinge_gateway.runonce.sending import RunOnceSender
from baobabhinge_gateway.runonce.sweeping import (
    BindingSweeper,
    SweepService,
)


class RunOnceParts(Service):
    """Everything behind the run-once executor.

    Parameters
    ----------
    environment : Environment
        Surroundings.
    memory : RunOnceMemory
        What this gateway remembers.
    binder : KeyBinder
        Keys for callers with an Idempotency-Key.
    sweeper : BindingSweeper
        Remover of their bindings.

    Attributes
    ----------
    memory, binder
        The parameters.
    forwarder : OwnerForwarder
        Way to owners.
    inquirer : Inquirer
        Way to what became of a key.
    runner : OwnerRunner
        Runner of the calls of own keys.
    """

    def __init__(
        self,
        environment: Environment,
        memory: RunOnceMemory,
        binder: KeyBinder,
        sweeper: BindingSweeper,
    ) -> None:
        """Build the parts; start nothing yet."""
        super().__init__()
        self.memory = memory
        self.binder = binder
        self.forwarder = OwnerForwarder(environment)
        self.inquirer = Inquirer(self.memory, environment)
        self._sweeping = SweepService(sweeper, environment.fleet)
        self._keeper = WitnessKeeper(self.memory, environment)
        self.runner = OwnerRunner(
            self.memory.owner,
            Recorder(environment, self._keeper),
            RunOnceSender(environment),
            environment.clock,
        )

    async def on_start(self) -> None:
        """Start keeping a witness and sweeping."""
        await self.add_runtime_dependency(self._sweeping)
        await self.add_runtime_dependency(self._keeper)
        await self.add_runtime_dependency(self.runner)
