"""What the watcher has to know about gateways."""

from collections.abc import Sequence
from typing import Protocol

from baobabhinge_gateway.calls import Hop
from baobabhinge_platform.machines import Vm


class GatewayList(Protocol):
    """Gateways as this one sees them.

    Attributes
    ----------
    own : Hop
        This gateway.
    """

    own: Hop

    def list_gateways(self, region: str | None = None) -> Sequence[Vm]:
        """Return the live ones of one region, this one among them or not."""
