"""Errors of calls that are bound to regions."""

from datetime import timedelta
from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, EntryHint


class RegionBoundError(CallError):
    """The regions to which the request is bound can't serve it now."""

    code = 'region-bound'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class WrongRegionError(CallError):
    """The request is bound to regions other than that of this gateway.

    Parameters
    ----------
    entries : tuple of EntryHint
        Gateways of those regions, which the caller can use at once.
    """

    code = 'wrong-region'
    status = HTTPStatus.MISDIRECTED_REQUEST

    def __init__(self, entries: tuple[EntryHint, ...]) -> None:
        """Store the gateways; the caller needs no delay before a retry."""
        super().__init__(
            'the request is bound to another region; use a gateway there',
            timedelta(),
        )
        self.entries = entries
