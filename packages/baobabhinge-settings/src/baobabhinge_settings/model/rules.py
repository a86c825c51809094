"""Workspaces, data rules, limits and objectives."""

from datetime import timedelta

import msgspec


class Workspace(msgspec.Struct, frozen=True):
    """A group of callers with one account.

    Parameters
    ----------
    name : str
        Name of the workspace.
    home : str, optional
        Region in which its data live.
    services : tuple of str
        Services that it may use; empty for all.
    """

    name: str
    home: str | None = None
    services: tuple[str, ...] = ()

    def may_use(self, service: str) -> bool:
        """Tell whether the workspace may use ``service``."""
        return not self.services or service in self.services


class DataOrigin(msgspec.Struct, frozen=True):
    """Whose data a call carries.

    Parameters
    ----------
    service : str
        Service that is called.
    workspace : str
        Workspace of the caller; empty when there is none.
    region : str
        Region in which the data live.
    """

    service: str
    workspace: str
    region: str


class DataRule(msgspec.Struct, frozen=True):
    """Data of one region, and where they may go.

    Parameters
    ----------
    name : str
        Name of the rule.
    region : str
        Region in which the data live.
    may_go_to : tuple of str
        Other regions that they may be sent to.
    service, workspace : str, optional
        Which data the rule is for; ``None`` stands for all.
    """

    name: str
    region: str
    may_go_to: tuple[str, ...]
    service: str | None = None
    workspace: str | None = None

    def allows(self, region: str) -> bool:
        """Tell whether the data may be in ``region``."""
        return region == self.region or region in self.may_go_to


class Limit(msgspec.Struct, frozen=True):
    """How much one gateway admits.

    Parameters
    ----------
    name : str
        Name of the limit.
    service, workspace : str, optional
        Which calls are counted; ``None`` stands for all.
    in_flight : int, optional
        Largest number of calls at a time.
    rate : int, optional
        Largest number of calls a second.
    """

    name: str
    service: str | None = None
    workspace: str | None = None
    in_flight: int | None = None
    rate: int | None = None


class Objective(msgspec.Struct, frozen=True):
    """What placing a call weighs, each in percent, 100 together.

    Parameters
    ----------
    name : str
        Name of the objective.
    service : str, optional
        Service that it is for; ``None`` stands for all others.
    cost, tail_latency, sent_away : int
        Weights, in percent.
    first_token : timedelta
        Time to the first piece of an answer that counts as in time.
    """

    name: str
    service: str | None = None
    cost: int = 34
    tail_latency: int = 33
    sent_away: int = 33
    first_token: timedelta = timedelta(milliseconds=1100)
