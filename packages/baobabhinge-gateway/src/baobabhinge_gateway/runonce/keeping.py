"""Keeping a witness, and forgetting what is past its age."""

import asyncio
from contextlib import suppress
from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.runonce import MintWindow, OpenEpoch
from baobabhinge_gateway.runonce.choosing import WitnessChooser
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_gateway.runonce.memory import RunOnceMemory
from baobabhinge_gateway.runonce.peerclient import PeerSilentError
from baobabhinge_platform.machines import Vm

CHECK_INTERVAL = timedelta(seconds=1)
RENEWALS_PER_SPAN = 2

log = structlog.get_logger(__name__)


class WitnessKeeper(Service):
    """Open an epoch at a witness before the present one is too old.

    Parameters
    ----------
    memory : RunOnceMemory
        What this gateway remembers.
    environment : Environment
        Surroundings.
    """

    def __init__(
        self,
        memory: RunOnceMemory,
        environment: Environment,
    ) -> None:
        """Ask nobody yet."""
        super().__init__()
        self._memory = memory
        self._chooser = WitnessChooser(environment.fleet, environment.random)
        self._peers = environment.peers
        self._clock = environment.clock
        self._is_due = asyncio.Event()

    def replace_witness(self) -> None:
        """Look for another witness soon: the present one was silent."""
        self._is_due.set()

    async def on_start(self) -> None:
        """Open the first epoch if a witness is there."""
        await self._renew()

    @Service.task
    async def _keep(self) -> None:
        while not self.should_stop:
            await _wait_for(self._is_due)
            self._memory.drop_expired()
            if self._needs_renewal():
                await self._renew()

    def _needs_renewal(self) -> bool:
        mint = self._memory.mint
        span = self._memory.retention.epoch_span / RENEWALS_PER_SPAN
        if self._is_due.is_set() or mint.window_age > span:
            return True
        return not self._chooser.is_live(mint.witness)

    async def _renew(self) -> None:
        self._is_due.clear()
        started = self._clock.read_monotonic()
        for vm in self._chooser.list_candidates():
            window = await self._open(vm, started)
            if window is not None:
                self._memory.mint.use_window(window)
                return
        log.warning('no-witness')
        self._memory.mint.use_window(MintWindow(started))

    async def _open(self, vm: Vm, started: timedelta) -> MintWindow | None:
        order = OpenEpoch(self._memory.party)
        try:
            opened = await self._peers.open_epoch(vm.address, order)
        except PeerSilentError:
            return None
        return MintWindow(started, opened.witness, opened.epoch)


async def _wait_for(event: asyncio.Event) -> None:
    """Wait for ``event``, but not longer than until the next check."""
    with suppress(TimeoutError):
        async with asyncio.timeout(CHECK_INTERVAL.total_seconds()):
            await event.wait()
