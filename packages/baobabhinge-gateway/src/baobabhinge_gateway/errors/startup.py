"""Errors at the start of the process."""

from baobabhinge_gateway.errors.base import GatewayError


class AddressTakenError(GatewayError):
    """The configured listen address is in use, or is not one of this vm.

    Parameters
    ----------
    address : str
        ``host:port`` from the process settings.
    """

    def __init__(self, address: str) -> None:
        """Store the address and name it in the message."""
        super().__init__(f'{address}: in use, or not an address of this vm')
        self.address = address
