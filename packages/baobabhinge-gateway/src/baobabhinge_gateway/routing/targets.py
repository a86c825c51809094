"""Places that can take a call."""

import msgspec

from baobabhinge_platform.machines import Vm


class RoutingTarget(msgspec.Struct, frozen=True):
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

    @property
    def destination(self) -> str:
        """Return the vm, or the region of a remote target."""
        return self.vm.region if self.is_remote else self.vm.name
