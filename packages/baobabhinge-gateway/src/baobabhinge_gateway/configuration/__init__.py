"""The configuration in force on this gateway."""

from baobabhinge_gateway.configuration.active_configuration import (
    ActiveConfiguration as ActiveConfiguration,
)
from baobabhinge_gateway.configuration.assembly import (
    build_watcher as build_watcher,
)
from baobabhinge_gateway.configuration.configuration_watcher import (
    ConfigurationWatcher as ConfigurationWatcher,
)
