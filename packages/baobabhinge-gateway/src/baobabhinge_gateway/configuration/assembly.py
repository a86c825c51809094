"""Putting the watcher of the manifest together."""

from random import SystemRandom

from baobabhinge_coordination.generations import ReleaseReader
from baobabhinge_coordination.store import KeyValueStore
from baobabhinge_gateway.configuration.active import ActiveConfiguration
from baobabhinge_gateway.configuration.gateways import GatewayList
from baobabhinge_gateway.configuration.watcher import ConfigurationWatcher


def build_watcher(
    active: ActiveConfiguration,
    store: KeyValueStore,
    fleet: GatewayList,
) -> ConfigurationWatcher:
    """Return the watcher of the manifest in ``store``."""
    reader = ReleaseReader(store)
    return ConfigurationWatcher(active, reader, fleet, SystemRandom())
