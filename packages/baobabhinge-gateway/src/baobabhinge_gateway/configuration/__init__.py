"""The configuration in force on this gateway."""

from baobabhinge_gateway.configuration.active import (
    ActiveConfiguration as ActiveConfiguration,
)
from baobabhinge_gateway.configuration.watcher import (
    ConfigurationWatcher as ConfigurationWatcher,
)
from baobabhinge_gateway.configuration.watcher import (
    build_watcher as build_watcher,
)
