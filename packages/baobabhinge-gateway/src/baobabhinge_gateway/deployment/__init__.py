"""What operators deployed: routes, services, limits and backend servers."""

from baobabhinge_gateway.deployment.holder import (
    ConfigurationHolder as ConfigurationHolder,
)
from baobabhinge_gateway.deployment.model import BackendServer as BackendServer
from baobabhinge_gateway.deployment.model import CallKind as CallKind
from baobabhinge_gateway.deployment.model import Engine as Engine
from baobabhinge_gateway.deployment.model import RequestLimits as RequestLimits
from baobabhinge_gateway.deployment.model import Revision as Revision
from baobabhinge_gateway.deployment.model import Route as Route
from baobabhinge_gateway.deployment.model import Service as Service
from baobabhinge_gateway.deployment.model import Split as Split
from baobabhinge_gateway.deployment.servers import (
    ServerCatalogue as ServerCatalogue,
)
from baobabhinge_gateway.deployment.table import RouteTable as RouteTable
