"""What keepers of quotas tell each other."""

import msgspec

from baobabhinge_coordination.bounds import Milliseconds
from baobabhinge_gateway.quotas.messages import Ask, Balance, Grants, Units


class TransferRequest(msgspec.Struct, array_like=True, tag='request'):
    """Question of a keeper for units of another region.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    number : int
        Number of the question, which the transfer repeats.
    units : float
        Units that it lacks.
    room : float
        Units that it has.
    """

    workspace: str
    number: int
    units: Units
    room: Units


class Transfer(msgspec.Struct, array_like=True, tag='transfer'):
    """Units that a keeper has taken from its account for another region.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    number : int
        Number of the question.
    units : float
        Units that the receiver may add to its account, once.
    """

    workspace: str
    number: int
    units: Units


class Handover(msgspec.Struct, array_like=True, tag='handover'):
    """Account that its keeper gives up, as another gateway is to keep it.

    Parameters
    ----------
    balance : Balance
        The account; its sender grants nothing from it any more.
    time : int
        Time of the latest statement of the receiver, by its clock.
    """

    balance: Balance
    time: Milliseconds


QuotaMessage = Ask | Grants | TransferRequest | Transfer | Handover
