"""The configuration in force on this gateway."""

from baobabhinge_gateway.configuration.active import (
    ActiveConfiguration as ActiveConfiguration,
)
from baobabhinge_gateway.configuration.assembly import (
    build_watcher as build_watcher,
)
from baobabhinge_gateway.configuration.watcher import (
    ConfigurationWatcher as ConfigurationWatcher,
)
