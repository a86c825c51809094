"""A small deployment on the stand-in of the platform, in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from aiohttp import web

from baobabhinge_gateway.forwarding.placement_policy import PlacementPolicy
from baobabhinge_hosting.program import DEFAULT_POLICY, Program
from baobabhinge_standins.fleet.ports import reserve_port
from baobabhinge_standins.host.addresses import SceneAddresses
from baobabhinge_standins.host.calling import Received, send_call
from baobabhinge_standins.host.configuration import build_configuration
from baobabhinge_standins.host.server import HostServer
from baobabhinge_standins.host.store import HostStore

LOOPBACK = '127.0.0.1'
WAIT_SECONDS = 20
STEP_SECONDS = 0.02
NO_HEADERS: dict[str, str] = {}


class _OpenListener:
    """Listener of one application, which can end without a warning."""

    def __init__(self, server: web.Server, opened: asyncio.Server) -> None:
        """Store what accepts the connections and what answers on them."""
        self._server = server
        self._opened = opened
        port = opened.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'

    def end(self) -> None:
        """Close the listener and all connections."""
        self._opened.close()
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()


class HostScene:
    """Store, backend servers and gateways that run in this process.

    Attributes
    ----------
    addresses : SceneAddresses
        Where the gateways are.
    store : HostStore
        The store.
    servers : dict of str to HostServer
        Backend servers by name.
    programs : dict of str to Program
        Gateways by name of their vm.
    """

    def __init__(self, stack: AsyncExitStack) -> None:
        """Run nothing yet."""
        self._stack = stack
        self.addresses = SceneAddresses()
        self.store = HostStore()
        self.servers: dict[str, HostServer] = {}
        self.programs: dict[str, Program] = {}

    async def serve(self, app: web.Application) -> str:
        """Serve an application until the end; return its address."""
        opened = await self._open(app)
        return opened.address

    async def add_server(
        self,
        name: str,
        service: str,
        zone: str,
        software: str = 'v1',
    ) -> HostServer:
        """Serve one backend server and list it."""
        server = HostServer(name, service, zone, software)
        opened = await self._open(server.build_app())
        server.address = opened.address
        server.crash.end = opened.end
        self.servers[name] = server
        self.store.put(f'servers/{name}', server.describe())
        return server

    async def replace_server(self, server: HostServer) -> HostServer:
        """Serve a new incarnation of a server that has ended, and list it."""
        self.servers.pop(server.name)
        self.store.table.remove(f'servers/{server.name}')
        name = f'{server.name}-next'
        entry = server.describe()
        started = await self.add_server(
            name, str(entry['service']), str(entry['zone'])
        )
        started.crash.target = server.crash.target
        started.crash.part = server.crash.part
        started.crash.delay = server.crash.delay
        return started

    async def add_gateway(
        self, name: str, zone: str, policy: PlacementPolicy = DEFAULT_POLICY
    ) -> Program:
        """Run one gateway until the end."""
        settings = self.addresses.build_settings(name, zone)
        program = Program(settings, policy)
        await program.start()
        self._stack.push_async_callback(program.stop)
        self.programs[name] = program
        return program

    async def call(
        self,
        gateway: str,
        path: str,
        headers: dict[str, str] = NO_HEADERS,
    ) -> Received:
        """Send one call as a caller does."""
        address = self.addresses.find(gateway, 'front')
        return await send_call(f'http://{address}{path}', headers)

    async def _open(self, app: web.Application) -> _OpenListener:
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=0,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        server = runner.server
        assert server is not None
        loop = asyncio.get_running_loop()
        opened = await loop.create_server(server, LOOPBACK, reserve_port())
        self._stack.callback(opened.close)
        return _OpenListener(server, opened)


async def wait_until(is_reached: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not for `WAIT_SECONDS`.
    """
    async with asyncio.timeout(WAIT_SECONDS):
        while not is_reached():
            await asyncio.sleep(STEP_SECONDS)


@asynccontextmanager
async def open_scene(**gateways: str) -> AsyncIterator[HostScene]:
    """Run a deployment with a configuration, two regions and no servers.

    Parameters
    ----------
    **gateways : str
        Failure domain of each gateway by its name.

    Yields
    ------
    HostScene
        Servers are added by `HostScene.add_server`.
    """
    async with AsyncExitStack() as stack:
        scene = HostScene(stack)
        scene.addresses.store = await scene.serve(scene.store.build_app())
        scene.store.put('op/config', build_configuration(1))
        for name, zone in gateways.items():
            await scene.add_gateway(name, zone)
        yield scene
