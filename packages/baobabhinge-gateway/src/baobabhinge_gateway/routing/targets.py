"""Places that can take a call."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from baobabhinge_gateway.calls import Call
from baobabhinge_platform.machines import Vm


class Target(msgspec.Struct, frozen=True):
    """A backend server of this region, or a gateway of another one.

    Parameters
    ----------
    vm : Vm
        The vm behind it.
    is_remote : bool
        Whether it stands in another region.
    in_flight : int
        Calls of this gateway that it is running now.
    """

    vm: Vm
    is_remote: bool
    in_flight: int


class RoutingPolicy(Protocol):
    """Order in which targets are tried."""

    def rank(self, call: Call, targets: Sequence[Target]) -> list[Target]:
        """Return the targets worth trying, the best one first."""
