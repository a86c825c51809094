"""Target of one attempt of a call."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.estimates import ServerEstimate

MILLISECOND = timedelta(milliseconds=1)


class Target(msgspec.Struct, frozen=True):
    """A backend server, or another gateway.

    Parameters
    ----------
    address : str
        ``host:port``.
    region : str
        Region in which the call will run.
    estimate : ServerEstimate or None
        Set for backend servers, ``None`` for gateways.
    """

    address: str
    region: str
    estimate: ServerEstimate | None = None

    @property
    def name(self) -> str:
        """Name of the server, or the address of the gateway."""
        return self.estimate.server.name if self.estimate else self.address

    def list_tried(self) -> Sequence[str]:
        """Return the names that later attempts are to leave out."""
        if self.estimate is None:
            # All gateways of a region choose among the same servers.
            return (self.name, self.region)
        return (self.name,)

    @property
    def software(self) -> str | None:
        """Version of the software of a backend server."""
        return self.estimate.server.software if self.estimate else None

    @property
    def calls(self) -> int | None:
        """Calls in flight at a backend server before this one."""
        return self.estimate.calls if self.estimate else None

    @property
    def wait_ms(self) -> int | None:
        """Expected wait in milliseconds, for a backend server."""
        return self.estimate.wait // MILLISECOND if self.estimate else None
