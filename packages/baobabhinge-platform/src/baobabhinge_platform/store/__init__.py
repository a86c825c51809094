"""Client of a key-value service with the Consul HTTP interface."""

from baobabhinge_platform.store.leases import ConsulLeases as ConsulLeases
from baobabhinge_platform.store.transport import (
    ConsulTransport as ConsulTransport,
)
from baobabhinge_platform.store.values import ConsulStore as ConsulStore
