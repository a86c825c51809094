"""Addresses of the gateways of a scene, and the settings that tell them."""

from typing import Any

import msgspec

from baobabhinge_hosting.settings import HostSettings
from baobabhinge_standins.fleet.ports import reserve_port

ZONES = {'west-a': 'west', 'east-a': 'east'}
LISTENERS = ('front', 'ready', 'control', 'directory')
INTERNAL = 'internal'
GRACE_SECONDS = 1


class SceneAddresses:
    """One loopback address for each gateway, with the same ports on all.

    Attributes
    ----------
    store : str
        ``host:port`` of the store.
    bounds : dict
        Bounds of the settings of all gateways.
    """

    __slots__ = ('_hosts', '_ports', 'bounds', 'store')

    def __init__(self) -> None:
        """Reserve the ports."""
        names = (*LISTENERS, INTERNAL)
        self._ports = {name: reserve_port() for name in names}
        self._hosts: dict[str, str] = {}
        self.bounds: dict[str, Any] = {'grace-s': GRACE_SECONDS}
        self.store = ''

    def find(self, gateway: str, part: str) -> str:
        """Return where a gateway listens for one purpose."""
        if gateway not in self._hosts:
            number = len(self._hosts) + 1
            self._hosts[gateway] = f'127.0.9.{number}'
        host = self._hosts[gateway]
        port = self._ports[part]
        return f'{host}:{port}'

    def build_settings(self, gateway: str, zone: str) -> HostSettings:
        """Return the settings of a gateway in a failure domain."""
        return msgspec.convert(self.describe(gateway, zone), HostSettings)

    def describe(self, gateway: str, zone: str) -> dict[str, Any]:
        """Return the settings as the platform writes them."""
        internal = self._ports[INTERNAL]
        return {
            'node-name': gateway,
            'ip': self.find(gateway, INTERNAL).partition(':')[0],
            'zone': zone,
            'region': ZONES[zone],
            'internal-port-range': [internal, internal],
            'listen': {part: self.find(gateway, part) for part in LISTENERS},
            'platform': {'address': self.store},
            'zones': ZONES,
            'bounds': dict(self.bounds),
        }
