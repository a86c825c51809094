"""Refusing at once what would be answered late."""

from baobabhinge_gateway.admission.quotas import Quotas as Quotas
from baobabhinge_gateway.admission.reports import LimitReport as LimitReport
from baobabhinge_gateway.admission.reports import ShareReport as ShareReport
from baobabhinge_gateway.admission.reports import report_limit as report_limit
from baobabhinge_gateway.admission.shedding import Shedder as Shedder
from baobabhinge_gateway.admission.workspaces import (
    WorkspaceShares as WorkspaceShares,
)
