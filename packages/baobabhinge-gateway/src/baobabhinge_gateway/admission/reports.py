"""Limits as ``/v1/status`` shows them; each gateway counts its own calls."""

import msgspec

from baobabhinge_settings.model import Limit


class LimitUsage(msgspec.Struct, frozen=True):
    """How much of a limit is in use.

    Parameters
    ----------
    in_flight : int
        Calls counted now.
    rate : float
        Calls of the last second that the rate still counts.
    refused : int
        Calls refused since the start of the gateway.
    """

    in_flight: int
    rate: float
    refused: int


class LimitReport(msgspec.Struct, frozen=True):
    """A limit in force, and how much of it is in use.

    Parameters
    ----------
    name : str
        Name of the limit.
    service, workspace : str, optional
        Which calls are counted; ``None`` stands for all.
    in_flight_allowed, calls_per_second_allowed : int, optional
        The limit; ``None`` for none.
    in_flight : int
        Calls counted now.
    calls_per_second : float
        Calls of the last second.
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
    """Calls in flight of one workspace at one service.

    Parameters
    ----------
    service, workspace : str
        Whose calls; the workspace is empty for callers that name none.
    in_flight : int
        Calls now.
    in_flight_allowed : float
        Share of the workspace while the service is full.
    """

    service: str
    workspace: str
    in_flight: int
    in_flight_allowed: float


def build_limit_report(limit: Limit, use: LimitUsage) -> LimitReport:
    """Return the report of one limit."""
    return LimitReport(
        limit.name,
        limit.service,
        limit.workspace,
        limit.in_flight,
        use.in_flight,
        limit.rate,
        use.rate,
        use.refused,
    )
