"""Run-once calls of a gateway: keys, their owners and their witnesses."""

from baobabhinge_gateway.runonce.assembly import (
    build_run_once_service as build_run_once_service,
)
from baobabhinge_gateway.runonce.executor import (
    RunOnceExecutor as RunOnceExecutor,
)
from baobabhinge_gateway.runonce.key_routes import KeyRoutes as KeyRoutes
from baobabhinge_gateway.runonce.peer_routes import (
    RunOncePeerRoutes as RunOncePeerRoutes,
)
