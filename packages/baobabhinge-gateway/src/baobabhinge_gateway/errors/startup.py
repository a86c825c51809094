"""Failures at the start of the process."""

from baobabhinge_gateway.errors.base import GatewayError


class AddressTakenError(GatewayError):
    """The address to listen at is in use, or is not one of this vm.

    Parameters
    ----------
    address : str
        ``host:port`` of the process settings.
    """

    def __init__(self, address: str) -> None:
        """Name the address."""
        super().__init__(f'{address}: in use, or not an address of this vm')
        self.address = address
