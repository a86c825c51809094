"""Where one attempt of a call goes."""

import msgspec

from baobabhinge_gateway.forwarding.estimates import Prospect


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
