"""Usage of limits and workspace shares as reported by ``/v1/status``.

Each gateway counts and reports its own calls.
"""

import msgspec

from baobabhinge_settings.model import Limit


class LimitUsage(msgspec.Struct, frozen=True):
    """Usage of one limit.

    Parameters
    ----------
    in_flight : int
        Calls in flight.
    rate : float
        Calls of about the last second; tokens missing from the bucket.
    refused : int
        Calls refused since the start of the gateway.
    """

    in_flight: int
    rate: float
    refused: int


class LimitReport(msgspec.Struct, frozen=True):
    """Report of a limit in force and its usage.

    Parameters
    ----------
    name : str
        Name of the limit.
    service, workspace : str, optional
        Service and workspace of the counted calls; ``None`` stands for all.
    in_flight_allowed, calls_per_second_allowed : int, optional
        Largest allowed value; ``None`` if unlimited.
    in_flight : int
        Calls in flight.
    calls_per_second : float
        Calls of about the last second.
    refused : int
        Calls refused since the start of the gateway.
    """

    name: str
    service: str | None
    workspace: str | None
    in_flight_allowed: int | None
    in_flight: int
    calls_per_second_allowed: int | None
    calls_per_second: float
    refused: int


class ShareReport(msgspec.Struct, frozen=True):
    """Report of the calls in flight of one workspace at one service.

    Parameters
    ----------
    service, workspace : str
        Service and workspace; the workspace is empty if callers name none.
    in_flight : int
        Calls in flight.
    in_flight_allowed : float
        Share of the workspace, which is enforced while the service is full.
    """

    service: str
    workspace: str
    in_flight: int
    in_flight_allowed: float


def build_limit_report(limit: Limit, usage: LimitUsage) -> LimitReport:
    """Return the report of ``limit`` with its ``usage``."""
    return LimitReport(
        limit.name,
        limit.service,
        limit.workspace,
        limit.in_flight,
        usage.in_flight,
        limit.rate,
        usage.rate,
        usage.refused,
    )
