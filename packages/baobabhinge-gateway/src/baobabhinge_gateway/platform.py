"""Clients of the platform's services for one gateway."""

import aiohttp

from baobabhinge_gateway.process import PlatformAddresses
from baobabhinge_platform.directory import DirectoryClient
from baobabhinge_platform.machines import VmListClient
from baobabhinge_platform.sessions import build_session
from baobabhinge_platform.store import (
    ConsulLeases,
    ConsulStore,
    ConsulTransport,
)

CONFIGURATION = 'configuration'
LEASES = 'leases'


class LeaseAccess:
    """Leases, and the keys held under them.

    Parameters
    ----------
    transport : ConsulTransport
        Sender of calls.

    Attributes
    ----------
    keys : ConsulStore
        Keys under leases.
    sessions : ConsulLeases
        The leases themselves.
    """

    __slots__ = ('keys', 'sessions')

    def __init__(self, transport: ConsulTransport) -> None:
        """Build the clients; no call is made."""
        self.keys = ConsulStore(transport)
        self.sessions = ConsulLeases(transport)


class Platform:
    """Clients of the platform's services over one HTTP session.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    addresses : PlatformAddresses
        URLs of the services.
    region : str
        Region of the gateway, whose backend servers it has to know.

    Attributes
    ----------
    http : aiohttp.ClientSession
        Session of the gateway, for all its outgoing requests.
    transport : ConsulTransport
        Counts the calls to the key-value service by role.
    store : ConsulStore
        Key-value service, for the configuration.
    leases : LeaseAccess
        Leases of the key-value service.
    vm_list : VmListClient
        List of vms, which may lag behind the fleet.
    directory : DirectoryClient
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
        region: str,
    ) -> None:
        """Build the clients; no call is made."""
        self.http = http
        self.transport = ConsulTransport(http, addresses.key_value)
        self.store = self.open_store(CONFIGURATION)
        self.leases = LeaseAccess(self.transport.with_role(LEASES))
        self.vm_list = VmListClient(http, addresses.vm_list, region)
        self.directory = DirectoryClient(http, addresses.client_directory)

    def open_store(self, role: str) -> ConsulStore:
        """Return the key-value service, its calls counted under ``role``."""
        return ConsulStore(self.transport.with_role(role))


def build_http_session() -> aiohttp.ClientSession:
    """Return the session of one gateway; its owner closes it."""
    return build_session(auto_decompress=False)
