"""Polling of the platform's list of vms."""

from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_gateway.fleet.index import VmIndex
from baobabhinge_gateway.supervision import supervised_task
from baobabhinge_platform.machines import Vm, VmListClient, VmListError

POLL_INTERVAL = timedelta(milliseconds=500)

log = structlog.get_logger(__name__)


class VmWatcher(Service):
    """Poll the list of vms and hold the last one that could be read.

    Parameters
    ----------
    vm_list : VmListClient
        Reads the platform's list.

    Attributes
    ----------
    index : VmIndex
        Index of the list as last read; empty at first.
    """

    def __init__(self, vm_list: VmListClient) -> None:
        """Start with an empty list."""
        super().__init__()
        self._vm_list = vm_list
        self._vms: tuple[Vm, ...] = ()
        self.index = VmIndex()

    def adopt(self, vms: tuple[Vm, ...]) -> None:
        """Replace the list by ``vms``."""
        self._vms = vms
        self.index = VmIndex(vms)

    async def on_start(self) -> None:
        """Read the list once before the gateway serves calls."""
        await self._refresh()

    @supervised_task
    async def _poll(self) -> None:
        while not self.should_stop:
            await self.sleep(POLL_INTERVAL)
            await self._refresh()

    async def _refresh(self) -> None:
        try:
            vms = await self._vm_list.read()
        except VmListError as failure:
            log.warning('vm-list-unreadable', reason=type(failure).__name__)
            return
        if vms is not self._vms:
            self.adopt(vms)
