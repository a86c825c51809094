"""Polling the platform's list of vms."""

from collections.abc import Sequence
from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_platform.machines import Role, Vm, VmList, VmListError, VmState

POLL_INTERVAL = timedelta(milliseconds=500)

log = structlog.get_logger(__name__)


class VmWatcher(Service):
    """Keep the list of vms as last seen; an outage changes nothing.

    Parameters
    ----------
    vm_list : VmList
        Reader of the platform's list.
    """

    def __init__(self, vm_list: VmList) -> None:
        """Start with no vm known."""
        super().__init__()
        self._vm_list = vm_list
        self._vms: tuple[Vm, ...] = ()

    def list_backends(self, service: str, region: str) -> Sequence[Vm]:
        """Return the live backend servers of ``service`` in ``region``."""
        return [
            vm
            for vm in self._vms
            if vm.service == service
            and vm.region == region
            and vm.role is not Role.gateway
            and vm.state is VmState.live
        ]

    def list_gateways(self, region: str | None = None) -> Sequence[Vm]:
        """Return the live gateways of one region, or of all."""
        return [
            vm
            for vm in self._vms
            if vm.role is Role.gateway
            and region in {None, vm.region}
            and vm.state is VmState.live
        ]

    def find_report(self, vm: str) -> None:
        """Return the newest load report of ``vm``; none is read yet."""

    async def on_start(self) -> None:
        """Read the list once before the gateway serves."""
        await self._refresh()

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await self.sleep(POLL_INTERVAL)
            await self._refresh()

    async def _refresh(self) -> None:
        try:
            self._vms = await self._vm_list.read()
        except VmListError as bad:
            log.warning('vm-list-unreadable', reason=type(bad).__name__)
