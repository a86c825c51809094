"""The deployment: routes, services, request limits and backend servers."""

from baobabhinge_gateway.deployment.configuration import (
    DeploymentConfiguration as DeploymentConfiguration,
)
from baobabhinge_gateway.deployment.revision import (
    RequestLimits as RequestLimits,
)
from baobabhinge_gateway.deployment.revision import Revision as Revision
from baobabhinge_gateway.deployment.routes import CallKind as CallKind
from baobabhinge_gateway.deployment.routes import Route as Route
from baobabhinge_gateway.deployment.routes import Split as Split
from baobabhinge_gateway.deployment.servers import (
    ServerCatalogue as ServerCatalogue,
)
from baobabhinge_gateway.deployment.services import (
    BackendServer as BackendServer,
)
from baobabhinge_gateway.deployment.services import Engine as Engine
from baobabhinge_gateway.deployment.services import Service as Service
from baobabhinge_gateway.deployment.table import RouteTable as RouteTable
from baobabhinge_gateway.deployment.workspaces import Quota as Quota
from baobabhinge_gateway.deployment.workspaces import QuotaUnit as QuotaUnit
from baobabhinge_gateway.deployment.workspaces import Workspace as Workspace
from baobabhinge_gateway.deployment.workspaces import (
    WorkspaceTable as WorkspaceTable,
)
