"""Keeping a witness, and forgetting what is past its age."""

import asyncio
from contextlib import suppress
from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.runonce import OpenEpoch, Window
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_gateway.runonce.peer_client import PeerRequestError
from baobabhinge_gateway.runonce.witness_selection import WitnessSelector
from baobabhinge_platform.machines import Vm

CHECK_INTERVAL = timedelta(seconds=1)
RENEWALS_PER_SPAN = 2

log = structlog.get_logger(__name__)


class EpochRenewer(Service):
    """Open an epoch at a witness before the present one is too old.

    Parameters
    ----------
    key_state : KeyState
        What this gateway remembers.
    context : RunOnceContext
        Surroundings.
    """

    def __init__(
        self,
        key_state: KeyState,
        context: RunOnceContext,
    ) -> None:
        """Ask nobody yet."""
        super().__init__()
        self._key_state = key_state
        self._chooser = WitnessSelector(context.fleet, context.random)
        self._peers = context.peers
        self._clock = context.clock
        self._is_due = asyncio.Event()

    def request_new_witness(self) -> None:
        """Look for another witness soon: the present one was silent."""
        self._is_due.set()

    async def on_start(self) -> None:
        """Open the first epoch if a witness is there."""
        await self._renew()

    @Service.task
    async def _keep(self) -> None:
        while not self.should_stop:
            await _wait_for(self._is_due)
            self._key_state.drop_expired()
            if self._needs_renewal():
                await self._renew()

    def _needs_renewal(self) -> bool:
        mint = self._key_state.mint
        span = self._key_state.retention.epoch_span / RENEWALS_PER_SPAN
        if self._is_due.is_set() or mint.age > span:
            return True
        return not self._chooser.is_live(mint.witness)

    async def _renew(self) -> None:
        self._is_due.clear()
        started = self._clock.read_monotonic()
        for vm in self._chooser.list_candidates():
            window = await self._open(vm, started)
            if window is not None:
                self._key_state.mint.adopt(window)
                return
        log.warning('no-witness')
        self._key_state.mint.adopt(Window(started))

    async def _open(self, vm: Vm, started: timedelta) -> Window | None:
        order = OpenEpoch(self._key_state.party)
        try:
            opened = await self._peers.open_epoch(vm.address, order)
        except PeerRequestError:
            return None
        return Window(started, opened.witness, opened.epoch)


async def _wait_for(event: asyncio.Event) -> None:
    """Wait for ``event``, but not longer than until the next check."""
    with suppress(TimeoutError):
        async with asyncio.timeout(CHECK_INTERVAL.total_seconds()):
            await event.wait()
