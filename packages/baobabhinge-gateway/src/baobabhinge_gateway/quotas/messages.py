"""What gateways tell each other about quotas."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.bounds import Milliseconds

Units = float


class Report(msgspec.Struct, array_like=True, omit_defaults=True):
    """Use of one workspace by a gateway, told to its keeper.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    used : float
        Units that the gateway has used since its start.
    need : float
        Units that a call needs now; 0 if none waits.
    wanted : float
        Units for calls behind it.
    """

    workspace: str
    used: Units
    need: Units = 0
    wanted: Units = 0


class Balance(msgspec.Struct, array_like=True):
    """Account as its keeper states it, for the next keeper.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    granted, minted : sequence of int
        Units that were granted and minted in each part of the window, the
        latest first.
    """

    workspace: str
    granted: Sequence[int] = ()
    minted: Sequence[int] = ()


class Statement(msgspec.Struct, array_like=True):
    """Section of a heartbeat, or question for units.

    Parameters
    ----------
    time : int
        Monotonic time of the sender, in milliseconds, which grants repeat.
    unheard : sequence of int
        Digests of the gateways of its region that it does not hear.
    reports : sequence of Report
        Use of the workspaces that it has used lately.
    kept : sequence of Balance
        Accounts that the sender keeps; without units in other regions.
    may_keep : bool
        Whether the sender may keep accounts: it is not about to stop, and knows
        the gateways of its region.
    is_local : bool
        Whether it is for the region of the sender. A seed address, whose region
        is not known, gets what other regions get.
    """

    time: Milliseconds
    unheard: Sequence[int] = ()
    reports: Sequence[Report] = ()
    kept: Sequence[Balance] = ()
    may_keep: bool = True
    is_local: bool = True

    @property
    def sent(self) -> timedelta:
        """Monotonic time of the sender."""
        return timedelta(milliseconds=self.time)


class Ask(msgspec.Struct, array_like=True, tag='ask'):
    """Question of a gateway for units.

    Parameters
    ----------
    time : int
        Monotonic time of the sender, in milliseconds.
    reports : sequence of Report
        Use and needs by workspace.
    """

    time: Milliseconds
    reports: Sequence[Report]


class Grant(msgspec.Struct, array_like=True, omit_defaults=True):
    """What a keeper grants to one gateway.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    sequence : int
        Grows with each grant of a keeper.
    limit : float
        Units that the gateway may use in total since its start.
    wait_ms : int
        Time until there may be room for what it needs; 0 if that is granted.
    """

    workspace: str
    sequence: int
    limit: Units
    wait_ms: Milliseconds = 0


class Grants(msgspec.Struct, array_like=True, tag='grants'):
    """Answer of a keeper.

    Parameters
    ----------
    incarnation : str
        Process to which the units are granted.
    time : int
        Time of the report that it answers.
    grants : sequence of Grant
        Grants by workspace.
    """

    incarnation: str
    time: Milliseconds
    grants: Sequence[Grant]
