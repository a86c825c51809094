"""Configuration in force at this gateway and its updates from the store."""

from baobabhinge_gateway.configuration.active_configuration import (
    ActiveConfiguration as ActiveConfiguration,
)
from baobabhinge_gateway.configuration.assembly import (
    build_watcher as build_watcher,
)
from baobabhinge_gateway.configuration.configuration_watcher import (
    ConfigurationWatcher as ConfigurationWatcher,
)
