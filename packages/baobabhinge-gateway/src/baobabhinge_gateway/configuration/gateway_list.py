"""Protocol for the list of gateways that the watcher reads."""

from collections.abc import Sequence
from typing import Protocol

from baobabhinge_gateway.calls import Hop
from baobabhinge_platform.machines import Vm


class GatewayList(Protocol):
    """Gateways that this gateway currently knows.

    Attributes
    ----------
    own : Hop
        Name and region of this gateway.
    """

    own: Hop

    def list_gateways(self, region: str | None = None) -> Sequence[Vm]:
        """Return the live gateways of a region; may leave out this gateway."""
