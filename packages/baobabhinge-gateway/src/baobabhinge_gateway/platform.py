"""The platform's services as one gateway reaches them."""

import aiohttp

from baobabhinge_gateway.process import PlatformAddresses
from baobabhinge_platform.directory import ClientDirectory
from baobabhinge_platform.machines import VmList
from baobabhinge_platform.store import (
    ConsulLeases,
    ConsulStore,
    ConsulTransport,
)


class Platform:
    """Clients of the platform's services over one HTTP session.

    Attributes
    ----------
    http : aiohttp.ClientSession
        Session of the gateway, for all its outgoing requests.
    transport : ConsulTransport
        Counts the calls to the key-value service.
    store : ConsulStore
        Values of the key-value service.
    leases : ConsulLeases
        Leases of the key-value service.
    vm_list : VmList
        Lagging list of vms.
    directory : ClientDirectory
        Directory in which callers find gateways.
    """

    __slots__ = (
        'directory',
        'http',
        'leases',
        'store',
        'transport',
        'vm_list',
    )

    def __init__(
        self,
        http: aiohttp.ClientSession,
        addresses: PlatformAddresses,
    ) -> None:
        """Build the clients; no call is made."""
        self.http = http
        self.transport = ConsulTransport(http, addresses.key_value)
        self.store = ConsulStore(self.transport)
        self.leases = ConsulLeases(self.transport)
        self.vm_list = VmList(http, addresses.vm_list)
        self.directory = ClientDirectory(http, addresses.client_directory)


async def send_once(
    request: aiohttp.ClientRequest,
    send: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Send a request and never send it again, as aiohttp does by itself.

    Raises
    ------
    aiohttp.ClientConnectionError
        If the exchange broke off; the other side may have run the request.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as broken:
        raise aiohttp.ClientConnectionError(str(broken)) from broken


def build_http_session() -> aiohttp.ClientSession:
    """Return the session of one gateway; its owner closes it."""
    return aiohttp.ClientSession(
        auto_decompress=False,
        connector=aiohttp.TCPConnector(limit=0),
        middlewares=(send_once,),
    )
