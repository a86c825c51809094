"""Admission control: refuse at once what exceeds a limit or would be late."""

from baobabhinge_gateway.admission.quotas import Quotas as Quotas
from baobabhinge_gateway.admission.reports import LimitReport as LimitReport
from baobabhinge_gateway.admission.reports import ShareReport as ShareReport
from baobabhinge_gateway.admission.reports import (
    build_limit_report as build_limit_report,
)
from baobabhinge_gateway.admission.shedding import LoadShedder as LoadShedder
from baobabhinge_gateway.admission.workspaces import (
    WorkspaceShares as WorkspaceShares,
)
