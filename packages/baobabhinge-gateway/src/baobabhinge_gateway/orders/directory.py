"""Updates of the client directory of the region."""

from contextlib import suppress
from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.leases import LeaseClient, LeaseNotHeldError
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.supervision import supervised_task
from baobabhinge_platform.directory import DirectoryClient, DirectoryError

CHECK_INTERVAL = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class DirectoryService(Service):
    """Publish the gateways of the region to callers while holding the lease.

    The directory gets the addresses at which they listen for callers. The
    write is idempotent; it is done when the addresses or the lease change,
    and retried after a failure.

    Parameters
    ----------
    lease_client : LeaseClient
        Client of the lease of the region.
    directory : DirectoryClient
        Client directory that is written.
    fleet : FleetView
        Gateways of the region.
    """

    def __init__(
        self,
        lease_client: LeaseClient,
        directory: DirectoryClient,
        fleet: FleetView,
    ) -> None:
        """Store the collaborators; nothing counts as written."""
        super().__init__()
        self._lease_client = lease_client
        self._directory = directory
        self._fleet = fleet
        self._written: tuple[int, tuple[str, ...]] | None = None

    @supervised_task
    async def _write_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL)
            with suppress(LeaseNotHeldError):
                await self._write_changes()

    async def _write_changes(self) -> None:
        region = self._fleet.own.region
        gateways = self._fleet.list_gateways(region)
        addresses = sorted(vm.caller_address for vm in gateways)
        lease = self._lease_client.require()
        wanted = (lease.fencing, tuple(addresses))
        if wanted == self._written:
            return
        try:
            await self._directory.write(region, addresses)
        except DirectoryError:
            log.warning('client-directory-unwritten', region=region)
            return
        self._written = wanted
