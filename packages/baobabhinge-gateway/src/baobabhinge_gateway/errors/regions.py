"""Calls that are bound to regions."""

from datetime import timedelta
from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, EntryHint


class RegionBoundError(CallError):
    """The bound region can't serve the request now."""

    code = 'region-bound'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class WrongRegionError(CallError):
    """The request is bound to regions in which this gateway does not stand.

    Parameters
    ----------
    entries : tuple of EntryHint
        Gateways of those regions.
    """

    code = 'wrong-region'
    status = HTTPStatus.MISDIRECTED_REQUEST

    def __init__(self, entries: tuple[EntryHint, ...]) -> None:
        """Name the gateways to use."""
        super().__init__(
            'the request is bound to another region; send it to an entry there',
            timedelta(),
        )
        self.entries = entries
