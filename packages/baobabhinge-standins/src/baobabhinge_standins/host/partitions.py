"""Gateways of a scene that do not reach the backend servers."""

import errno
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from contextvars import ContextVar
from typing import Any
from unittest import mock

from baobabhinge_gateway.forwarding import connector
from baobabhinge_standins.host.scene import HostScene, open_scene

# Gateway that runs in this context and in the tasks that it starts.
_gateway: ContextVar[str] = ContextVar('gateway', default='')


class ServerPartitions:
    """Cuts between gateways and all backend servers of a scene.

    New connections are refused; those that exist may be reset or live on.

    Parameters
    ----------
    scene : HostScene
        Scene with the servers.
    """

    def __init__(self, scene: HostScene) -> None:
        """Cut nothing."""
        self._scene = scene
        self._cut: set[str] = set()
        self._open_socket = connector._open_socket
        self._opened: list[tuple[str, str, socket.socket]] = []

    def open_socket(self, address: Any) -> socket.socket:
        """Return a socket for a connection, unless it is refused."""
        host, port = address[-1][:2]
        target = f'{host}:{port}'
        gateway = _gateway.get()
        if gateway in self._cut and target in self._list_addresses():
            raise OSError(errno.ECONNREFUSED, 'refused')
        opened = self._open_socket(address)
        self._opened.append((gateway, target, opened))
        return opened

    def begin(self, *gateways: str, is_reset: bool = True) -> None:
        """Partition gateways from all servers."""
        self._cut.update(gateways)
        if is_reset:
            self._reset()

    def end(self) -> None:
        """Let all gateways reach the servers."""
        self._cut.clear()

    def _reset(self) -> None:
        addresses = self._list_addresses()
        for gateway, target, opened in self._opened:
            is_open = opened.fileno() >= 0
            if is_open and gateway in self._cut and target in addresses:
                opened.shutdown(socket.SHUT_RDWR)

    def _list_addresses(self) -> set[str]:
        return {server.address for server in self._scene.servers.values()}


@contextmanager
def _enter_gateway(name: str) -> Iterator[None]:
    entered = _gateway.set(name)
    try:
        yield
    finally:
        _gateway.reset(entered)


@asynccontextmanager
async def open_partitions(
    **gateways: str,
) -> AsyncIterator[tuple[HostScene, ServerPartitions]]:
    """Run a deployment whose gateways can be partitioned from the servers.

    Parameters
    ----------
    **gateways : str
        Failure domain of each gateway by its name.

    Yields
    ------
    tuple of HostScene and ServerPartitions
        The scene, without servers, and the cuts.
    """
    async with open_scene() as scene:
        partitions = ServerPartitions(scene)
        with mock.patch.object(
            connector, '_open_socket', partitions.open_socket
        ):
            for name, zone in gateways.items():
                with _enter_gateway(name):
                    await scene.add_gateway(name, zone)
        yield scene, partitions
