"""Clients of the platform's services that a gateway uses."""

import aiohttp

from baobabhinge_gateway.process import PlatformAddresses
from baobabhinge_platform.directory import ClientDirectory
from baobabhinge_platform.machines import VmList
from baobabhinge_platform.sessions import build_session
from baobabhinge_platform.store import (
    ConsulLeases,
    ConsulStore,
    ConsulTransport,
)

CONFIGURATION_ROLE = 'configuration'
LEASES_ROLE = 'leases'


class LeaseClients:
    """Clients of the leases and of the keys that are held under them.

    Parameters
    ----------
    transport : ConsulTransport
        Transport to the key-value service.

    Attributes
    ----------
    keys : ConsulStore
        Client of the keys held under leases.
    sessions : ConsulLeases
        Client of the leases.
    """

    __slots__ = ('keys', 'sessions')

    def __init__(self, transport: ConsulTransport) -> None:
        """Build the clients without sending a request."""
        self.keys = ConsulStore(transport)
        self.sessions = ConsulLeases(transport)


class Platform:
    """Clients of the platform's services that share one HTTP session.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session, which the creator of this object closes.
    addresses : PlatformAddresses
        Addresses of the services.
    region : str
        Region of the gateway, whose backend servers are listed.

    Attributes
    ----------
    http : aiohttp.ClientSession
        Session for all outgoing requests of the gateway.
    transport : ConsulTransport
        Transport to the key-value service; counts calls by role.
    store : ConsulStore
        Client of the key-value service for the configuration.
    leases : LeaseClients
        Clients of the leases of the key-value service.
    vm_list : VmList
        Client of the list of vms, which may lag behind.
    directory : ClientDirectory
        Client of the directory in which callers look up gateways.
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
        region: str,
    ) -> None:
        """Build the clients without sending a request."""
        self.http = http
        self.transport = ConsulTransport(http, addresses.key_value)
        self.store = self.open_store(CONFIGURATION_ROLE)
        self.leases = LeaseClients(self.transport.share(LEASES_ROLE))
        self.vm_list = VmList(http, addresses.vm_list, region)
        self.directory = ClientDirectory(http, addresses.client_directory)

    def open_store(self, role: str) -> ConsulStore:
        """Return a key-value client whose calls are counted under ``role``."""
        return ConsulStore(self.transport.share(role))


def build_http_session() -> aiohttp.ClientSession:
    """Return a new client session, which its user closes."""
    return build_session(auto_decompress=False)
