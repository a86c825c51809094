"""Renewal of epochs at witnesses, and removal of expired state."""

import asyncio
from contextlib import suppress
from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.runonce import MintWindow, OpenEpoch
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_gateway.runonce.peer_client import PeerRequestError
from baobabhinge_gateway.runonce.witness_selection import WitnessSelector
from baobabhinge_gateway.supervision import supervised_task
from baobabhinge_platform.machines import Vm

CHECK_INTERVAL = timedelta(seconds=1)
RENEWALS_PER_EPOCH = 2

log = structlog.get_logger(__name__)


class EpochRenewer(Service):
    """Open a new epoch at a witness before the current one is too old.

    While no witness is reachable, new keys name no witness.

    Parameters
    ----------
    key_state : KeyState
        Its mint uses the new epochs; its expired entries are dropped.
    context : RunOnceContext
        Shared collaborators.
    """

    def __init__(
        self,
        key_state: KeyState,
        context: RunOnceContext,
    ) -> None:
        """Start without an epoch; no witness is asked yet."""
        super().__init__()
        self._key_state = key_state
        self._selector = WitnessSelector(context.fleet, context.random)
        self._peers = context.peers
        self._clock = context.clock
        self._renewal_requested = asyncio.Event()

    def request_new_witness(self) -> None:
        """Have the epoch renewed at once, as the current witness is lost."""
        self._renewal_requested.set()

    async def on_start(self) -> None:
        """Open the first epoch if a witness can be reached."""
        await self._renew()

    @supervised_task
    async def _renew_regularly(self) -> None:
        while not self.should_stop:
            await _wait_for_next_check(self._renewal_requested)
            self._key_state.drop_expired()
            if self._needs_renewal():
                await self._renew()

    def _needs_renewal(self) -> bool:
        mint = self._key_state.mint
        span = self._key_state.retention.epoch_span / RENEWALS_PER_EPOCH
        if self._renewal_requested.is_set() or mint.window_age > span:
            return True
        return not self._selector.is_live(mint.witness)

    async def _renew(self) -> None:
        self._renewal_requested.clear()
        started = self._clock.read_monotonic()
        for vm in self._selector.list_candidates():
            window = await self._open(vm, started)
            if window is not None:
                self._key_state.mint.use_window(window)
                return
        log.warning('no-witness')
        self._key_state.mint.use_window(MintWindow(started))

    async def _open(self, vm: Vm, started: timedelta) -> MintWindow | None:
        message = OpenEpoch(self._key_state.party)
        try:
            opened = await self._peers.open_epoch(vm.address, message)
        except PeerRequestError:
            return None
        return MintWindow(started, opened.witness, opened.epoch)


async def _wait_for_next_check(event: asyncio.Event) -> None:
    """Wait until ``event`` is set, at most for `CHECK_INTERVAL`."""
    with suppress(TimeoutError):
        async with asyncio.timeout(CHECK_INTERVAL.total_seconds()):
            await event.wait()
