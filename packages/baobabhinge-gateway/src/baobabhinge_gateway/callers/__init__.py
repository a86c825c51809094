"""The HTTP interface towards callers."""

from baobabhinge_gateway.callers.assembly import (
    build_call_server as build_call_server,
)
from baobabhinge_gateway.callers.call_routes import CallRoutes as CallRoutes
from baobabhinge_gateway.callers.call_routes import (
    build_forward_routes as build_forward_routes,
)
from baobabhinge_gateway.callers.dependencies import (
    build_call_dependencies as build_call_dependencies,
)
from baobabhinge_gateway.callers.entries import EntryReport as EntryReport
from baobabhinge_gateway.callers.health import (
    ConnectionCloser as ConnectionCloser,
)
from baobabhinge_gateway.callers.health import HealthReport as HealthReport
from baobabhinge_gateway.callers.problems import (
    ProblemRenderer as ProblemRenderer,
)
from baobabhinge_gateway.callers.status import StatusReport as StatusReport
