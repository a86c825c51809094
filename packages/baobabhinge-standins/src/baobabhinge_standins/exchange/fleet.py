"""Gateways of one deployment, and the store that some of them watch."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta
from ipaddress import IPv4Address

from baobabhinge_gateway.deployment import BackendServer, Revision
from baobabhinge_gateway.forwarding.key_revisions import ListRevisions
from baobabhinge_gateway.forwarding.state_updater import StateUpdater
from baobabhinge_gateway.neighbours import GatewayContact
from baobabhinge_standins.exchange.gateway import SimulatedGateway
from baobabhinge_standins.exchange.network import (
    LOCAL_LATENCY,
    Link,
    Network,
    Vm,
)

FIRST_HOST = IPv4Address('10.0.0.1')
PORT = 7395
# Starts are spread over one interval of heartbeats.
STARTING = timedelta(milliseconds=600)
# Heartbeats of all others have arrived, and watchers are chosen.
SETTLING = timedelta(seconds=3)

AppliedChange = Callable[[StateUpdater, int], None]


class Fleet:
    """Gateways, and the store that some of them watch.

    Parameters
    ----------
    contacts : sequence of GatewayContact
        Names, regions and addresses of the gateways.
    megabits : float
        Bandwidth of each gateway's link.

    Attributes
    ----------
    gateways : sequence of SimulatedGateway
        All gateways.
    network : Network
        Their links.
    """

    def __init__(
        self, contacts: Sequence[GatewayContact], megabits: float
    ) -> None:
        """Create the gateways; nothing is started."""
        self.network = Network()
        self._revision = 0
        self.network.vms.update(
            (one.host, Vm(one.region, Link(megabits))) for one in contacts
        )
        self.gateways = [
            SimulatedGateway(self.network, contact) for contact in contacts
        ]
        for gateway in self.gateways:
            for known in contacts:
                gateway.core.gateways.add_contact(known)

    def load(
        self, configuration: Revision, servers: Sequence[BackendServer]
    ) -> None:
        """Let each gateway know a first state."""
        self._revision += 1
        listed = ListRevisions(self._revision, self._revision)
        entries = dict.fromkeys(servers, self._revision)
        for gateway in self.gateways:
            updater = gateway.core.updater
            updater.adopt(configuration)
            updater.evacuations.replace({}, listed)
            updater.servers.replace(entries, listed)

    async def write(self, apply: AppliedChange) -> None:
        """Change the store; the gateways that watch it get the change.

        Parameters
        ----------
        apply : callable
            Applies the change of a revision to the state of one gateway.
        """
        self._revision += 1
        revision = self._revision
        await asyncio.sleep(LOCAL_LATENCY.total_seconds())
        for gateway in self.gateways:
            if gateway.core.is_watcher():
                apply(gateway.core.updater, revision)
                gateway.heartbeats.send_heartbeats()


@asynccontextmanager
async def open_fleet(
    counts: Mapping[str, int], megabits: float
) -> AsyncIterator[Fleet]:
    """Run gateways until the end.

    Parameters
    ----------
    counts : mapping of str to int
        Gateways of each region.
    megabits : float
        Bandwidth of each gateway's link.

    Yields
    ------
    Fleet
        Its gateways know each other.
    """
    fleet = Fleet(_list_contacts(counts), megabits)
    step = STARTING / len(fleet.gateways)
    async with AsyncExitStack() as stack:
        for gateway in fleet.gateways:
            for service in (gateway.heartbeats, gateway.sharing.fetcher):
                await service.start()
                stack.push_async_callback(service.stop)
            await asyncio.sleep(step.total_seconds())
        await asyncio.sleep(SETTLING.total_seconds())
        yield fleet


def _list_contacts(counts: Mapping[str, int]) -> Sequence[GatewayContact]:
    names = [
        (region, f'{region}-{number}')
        for region, count in counts.items()
        for number in range(count)
    ]
    return [
        GatewayContact(name, region, str(FIRST_HOST + place), PORT)
        for place, (region, name) in enumerate(names)
    ]
