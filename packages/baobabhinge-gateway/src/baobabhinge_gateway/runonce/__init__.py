"""Calls that may not be repeated: owners, witnesses and keys."""

from baobabhinge_gateway.runonce.assembly import (
    build_run_once as build_run_once,
)
from baobabhinge_gateway.runonce.executor import (
    RunOnceExecutor as RunOnceExecutor,
)
from baobabhinge_gateway.runonce.keyroutes import KeyRoutes as KeyRoutes
from baobabhinge_gateway.runonce.peerroutes import PeerRoutes as PeerRoutes
