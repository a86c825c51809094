"""Targets that a call can be sent to."""

import msgspec

from baobabhinge_platform.machines import Vm


class RoutingTarget(msgspec.Struct, frozen=True):
    """Backend server of the local region, or gateway of a remote region.

    Parameters
    ----------
    vm : Vm
        Vm of the backend server or gateway.
    is_remote : bool
        Whether the target is a gateway of a remote region.
    in_flight : int
        Calls that this gateway has in flight at the target.
    """

    vm: Vm
    is_remote: bool
    in_flight: int

    @property
    def destination(self) -> str:
        """Return the vm name, or the region of a remote target."""
        return self.vm.region if self.is_remote else self.vm.name
