"""Assembly of the service that watches the manifest."""

from random import SystemRandom

from baobabhinge_coordination.generations import ReleaseReader
from baobabhinge_coordination.store import KeyValueStore
from baobabhinge_gateway.configuration.active_configuration import (
    ActiveConfiguration,
)
from baobabhinge_gateway.configuration.configuration_watcher import (
    ConfigurationWatcher,
)
from baobabhinge_gateway.configuration.gateway_list import GatewayList


def build_watcher(
    active: ActiveConfiguration,
    store: KeyValueStore,
    fleet: GatewayList,
) -> ConfigurationWatcher:
    """Return a watcher that applies releases of ``store`` to ``active``."""
    reader = ReleaseReader(store)
    return ConfigurationWatcher(active, reader, fleet, SystemRandom())
