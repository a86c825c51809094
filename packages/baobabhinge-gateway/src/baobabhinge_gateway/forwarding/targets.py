"""Where one attempt of a call goes."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.estimates import Prospect

MILLISECOND = timedelta(milliseconds=1)


class Target(msgspec.Struct, frozen=True):
    """A backend server, or a gateway of another region.

    Parameters
    ----------
    address : str
        ``host:port``.
    region : str
        Region in which the call will run.
    prospect : Prospect or None
        Set for backend servers.
    """

    address: str
    region: str
    prospect: Prospect | None = None

    @property
    def name(self) -> str:
        """Name of the server, or the address of the gateway."""
        return self.prospect.server.name if self.prospect else self.address

    def list_tried(self) -> Sequence[str]:
        """Return what is not to be asked again after this target."""
        if self.prospect is None:
            # The gateways of a region know the same servers.
            return (self.name, self.region)
        return (self.name,)

    @property
    def wait_ms(self) -> int | None:
        """Estimated wait in milliseconds, for a backend server."""
        return self.prospect.wait // MILLISECOND if self.prospect else None
