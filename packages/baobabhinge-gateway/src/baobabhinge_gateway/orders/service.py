"""Orders that bring the engines of the region to the configuration."""

from contextlib import suppress
from datetime import timedelta

from mode import Service

from baobabhinge_coordination.leases import LeaseClient, LeaseNotHeldError
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.orders.order_sender import OrderSender
from baobabhinge_gateway.orders.plan import list_wanted_models, plan_orders
from baobabhinge_gateway.supervision import supervised_task
from baobabhinge_settings.model import Service as ModelService
from baobabhinge_settings.model import ServiceKind

MIN_INTERVAL = timedelta(seconds=1)
INTERVAL_PER_ENGINE = timedelta(milliseconds=150)


class OrderService(Service):
    """Read the engines and send the orders due, while holding the lease.

    The interval is `INTERVAL_PER_ENGINE` for each engine of the region, at
    least `MIN_INTERVAL`.

    Parameters
    ----------
    lease_client : LeaseClient
        Client of the lease of the region.
    sender : OrderSender
        Sends the orders.
    active : ActiveConfiguration
        Configuration in force.
    fleet : FleetView
        Engines of the region.
    """

    def __init__(
        self,
        lease_client: LeaseClient,
        sender: OrderSender,
        active: ActiveConfiguration,
        fleet: FleetView,
    ) -> None:
        """Store the collaborators; nothing is sent before the start."""
        super().__init__()
        self._lease_client = lease_client
        self._sender = sender
        self._active = active
        self._fleet = fleet

    @supervised_task
    async def _order_periodically(self) -> None:
        while not self.should_stop:
            engines = len(self._fleet.list_local_backends())
            interval = max(MIN_INTERVAL, INTERVAL_PER_ENGINE * engines)
            await self.sleep(interval)
            with suppress(LeaseNotHeldError):
                self._lease_client.require()
                await self._order_all()

    async def _order_all(self) -> None:
        settings = self._active.find_settings()
        if settings is None:
            return
        for service in settings.services.values():
            if service.kind is ServiceKind.model:
                await self._order_service(service)

    async def _order_service(self, service: ModelService) -> None:
        region = self._fleet.own.region
        wanted = list_wanted_models(service, region)
        if not wanted:
            return
        vms = self._fleet.list_backends(service.name, region)
        states = await self._sender.read_states(vms)
        for planned in plan_orders(wanted, states):
            await self._sender.send(planned)
