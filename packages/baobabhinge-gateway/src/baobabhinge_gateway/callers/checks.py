"""Checks of a request before its body is read."""

from aiohttp import web

from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.calls.regions import parse_regions
from baobabhinge_gateway.errors import (
    BodyTooLargeError,
    HeadersTooLargeError,
    WrongRegionError,
)
from baobabhinge_gateway.errors.base import EntryHint
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle

MAX_HEADER_BYTES = 8 << 10
MAX_ALL_HEADERS_BYTES = 32 << 10
MAX_BODY_BYTES = 4 << 20


class ArrivalChecks:
    """Refuse what this gateway may not or does not take.

    Parameters
    ----------
    fleet : FleetView
        Known vms, and the region of this gateway.
    lifecycle : Lifecycle
        Whether this gateway takes calls.
    """

    __slots__ = ('_fleet', '_lifecycle')

    def __init__(self, fleet: FleetView, lifecycle: Lifecycle) -> None:
        """Keep the parts."""
        self._fleet = fleet
        self._lifecycle = lifecycle

    def check(self, request: web.Request) -> None:
        """Check headers, region and length; the body stays unread.

        Raises
        ------
        CallError
            If the request is refused; it was not run.
        """
        self._lifecycle.note_call()
        _check_headers(request)
        self._check_region(request)
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise BodyTooLargeError('the body is over the limit')

    def _check_region(self, request: web.Request) -> None:
        regions = parse_regions(request.headers.get(headers.REGION_BOUND))
        if regions is not None and self._fleet.home.region not in regions:
            raise WrongRegionError(self._list_entries(regions))

    def _list_entries(self, regions: frozenset[str]) -> tuple[EntryHint, ...]:
        return tuple(
            EntryHint(vm.name, vm.region, vm.caller_address)
            for vm in self._fleet.list_gateways()
            if vm.region in regions
        )


def _check_headers(request: web.Request) -> None:
    sizes = [len(b''.join(pair)) for pair in request.raw_headers]
    sizes.append(len(request.raw_path))
    is_long = max(sizes) > MAX_HEADER_BYTES
    if is_long or sum(sizes) > MAX_ALL_HEADERS_BYTES:
        raise HeadersTooLargeError('the line or a header is over the limit')
