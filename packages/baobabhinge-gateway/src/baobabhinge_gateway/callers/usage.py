"""Use of limits and workspace shares, as counted by this gateway."""

import msgspec

from baobabhinge_gateway.admission import (
    LimitReport,
    Quotas,
    ShareReport,
    WorkspaceShares,
    build_limit_report,
)
from baobabhinge_settings.model import Settings

UNKNOWN_WORKSPACE = '?'


def list_limits(quotas: Quotas, settings: Settings | None) -> list[LimitReport]:
    """Return the operators' limits and their current use."""
    limits = () if settings is None else settings.limits
    return [
        build_limit_report(limit, quotas.measure(limit)) for limit in limits
    ]


def list_shares(
    shares: WorkspaceShares,
    settings: Settings | None,
) -> list[ShareReport]:
    """Return the calls in flight by service and workspace.

    A workspace that the settings don't name is reported as ``?``: its name
    is arbitrary text of a caller.
    """
    known = {''}
    if settings is not None:
        known.update(settings.workspaces)
    return [
        _hide_unknown_workspace(share, known) for share in shares.list_shares()
    ]


def _hide_unknown_workspace(share: ShareReport, known: set[str]) -> ShareReport:
    if share.workspace in known:
        return share
    return msgspec.structs.replace(share, workspace=UNKNOWN_WORKSPACE)
