"""Workspaces, data rules, limits and objectives."""

from datetime import timedelta

import msgspec


class Workspace(msgspec.Struct, frozen=True):
    """A group of callers with one account (a tenant).

    Parameters
    ----------
    name : str
        Name of the workspace.
    home : str, optional
        Region in which its data are stored.
    services : tuple of str
        Services that it may call; empty for all.
    """

    name: str
    home: str | None = None
    services: tuple[str, ...] = ()

    def may_use(self, service: str) -> bool:
        """Return whether the workspace may call ``service``."""
        return not self.services or service in self.services


class DataOrigin(msgspec.Struct, frozen=True):
    """Service, workspace and region of the data that a call carries.

    Parameters
    ----------
    service : str
        Service that is called.
    workspace : str
        Workspace of the caller; empty when there is none.
    region : str
        Region in which the data are stored.
    """

    service: str
    workspace: str
    region: str


class DataRule(msgspec.Struct, frozen=True):
    """Regions to which data of one region may be sent.

    Parameters
    ----------
    name : str
        Name of the rule.
    region : str
        Region in which the data are stored.
    may_go_to : tuple of str
        Other regions to which they may be sent.
    service, workspace : str, optional
        Scope of the rule; ``None`` stands for all.
    """

    name: str
    region: str
    may_go_to: tuple[str, ...]
    service: str | None = None
    workspace: str | None = None

    def allows(self, region: str) -> bool:
        """Return whether the rule allows the data in ``region``."""
        return region == self.region or region in self.may_go_to


class Limit(msgspec.Struct, frozen=True):
    """Largest number of calls that one gateway admits.

    Parameters
    ----------
    name : str
        Name of the limit.
    service, workspace : str, optional
        Which calls are counted; ``None`` stands for all.
    in_flight : int, optional
        Largest number of calls at a time.
    rate : int, optional
        Largest number of calls per second.
    """

    name: str
    service: str | None = None
    workspace: str | None = None
    in_flight: int | None = None
    rate: int | None = None


class Objective(msgspec.Struct, frozen=True):
    """Weights by which gateways place calls; they add up to 100 percent.

    Parameters
    ----------
    name : str
        Name of the objective.
    service : str, optional
        Service that it applies to; ``None`` stands for all others.
    cost, tail_latency, sent_away : int
        Weights in percent; ``sent_away`` is for calls that leave the region.
    first_token : timedelta
        Goal for the time to the first chunk of an answer.
    """

    name: str
    service: str | None = None
    cost: int = 34
    tail_latency: int = 33
    sent_away: int = 33
    first_token: timedelta = timedelta(milliseconds=1100)
