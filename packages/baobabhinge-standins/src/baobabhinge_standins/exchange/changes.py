"""Changes in the store of a running fleet."""

import asyncio
from collections.abc import Sequence
from functools import partial

import msgspec

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_standins.exchange.entries import (
    SERVICE,
    EntryBuilder,
    put_configuration,
    put_server,
    remove_server,
)
from baobabhinge_standins.exchange.fleet import Fleet
from baobabhinge_standins.exchange.spreads import (
    IsKnown,
    Spread,
    measure_spread,
)

SERVERS = 70
FEW_ROUTES = 14


class ChangeScene:
    """Write changes and measure how they spread.

    Parameters
    ----------
    fleet : Fleet
        The gateways.
    seed : int
        Seed of names.

    Attributes
    ----------
    network : Network
        Links of the gateways.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Let all gateways know the first configuration and servers."""
        self._fleet = fleet
        self.network = fleet.network
        self._cores = [gateway.core for gateway in fleet.gateways]
        self._entries = EntryBuilder(seed)
        self._servers = [self._entries.build_server() for _ in range(SERVERS)]
        self._spreads: list[asyncio.Task[Spread]] = []
        first = self._entries.build_configuration(FEW_ROUTES)
        fleet.load(first, self._servers)

    async def publish(self, routes: int) -> None:
        """Publish a configuration with a number of routes."""
        configuration = self._entries.build_configuration(routes)
        version = configuration.version
        self._measure(
            f'version {version}',
            lambda core: core.state.configuration.version >= version,
        )
        await self._fleet.write(partial(put_configuration, configuration))

    async def announce_end(self) -> BackendServer:
        """Let one server announce its end; return its entry."""
        server = msgspec.structs.replace(self._servers.pop(0), is_leaving=True)
        self._measure(
            f'end of {server.name}',
            lambda core: server.name not in _list_usable(core),
        )
        await self._fleet.write(partial(put_server, server))
        return server

    async def remove(self, server: BackendServer) -> None:
        """Remove the entry of a server."""
        self._measure(
            f'removal of {server.name}',
            lambda core: server not in core.state.catalogue.list_all(),
        )
        await self._fleet.write(partial(remove_server, server.name))

    async def add_server(self) -> None:
        """Add a server, as a release does before another one leaves."""
        server = self._entries.build_server()
        self._servers.append(server)
        await self._fleet.write(partial(put_server, server))

    async def finish(self) -> Sequence[Spread]:
        """Wait until all gateways know all changes; return how they did."""
        return await asyncio.gather(*self._spreads)

    def _measure(self, change: str, is_known: IsKnown) -> None:
        spread = measure_spread(self._cores, change, is_known)
        self._spreads.append(asyncio.create_task(spread))


def _list_usable(core: GatewayCore) -> frozenset[str]:
    usable = core.state.catalogue.list_usable(SERVICE)
    return frozenset(server.name for server in usable)
