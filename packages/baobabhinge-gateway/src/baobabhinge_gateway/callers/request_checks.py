"""Checks of a request before its body is read."""

from collections.abc import Iterable

from aiohttp import web

from baobabhinge_gateway.callers.region_guard import RegionGuard
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import BodyTooLargeError, HeadersTooLargeError
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle

MAX_HEADER_BYTES = 8 << 10
MAX_TOTAL_HEADER_BYTES = 32 << 10
MAX_BODY_BYTES = 4 << 20


class RequestChecks:
    """Refuse requests that are too large, or not for this gateway to serve.

    Parameters
    ----------
    lifecycle : Lifecycle
        Whether this gateway accepts calls.
    region_guard : RegionGuard
        Refuses calls that are bound to other regions.
    """

    __slots__ = ('_lifecycle', 'region_guard')

    def __init__(self, lifecycle: Lifecycle, region_guard: RegionGuard) -> None:
        """Store the collaborators."""
        self._lifecycle = lifecycle
        self.region_guard = region_guard

    def check(self, request: web.Request) -> None:
        """Check headers, region and content length; the body stays unread.

        Raises
        ------
        CallError
            If the request is refused; it has not run.
        """
        self._lifecycle.record_call()
        check_sizes(request.raw_path, request.raw_headers)
        self.region_guard.check_request(request)
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise BodyTooLargeError('the request body is over the limit')


def build_request_checks(
    fleet: FleetView,
    active: ActiveConfiguration,
    lifecycle: Lifecycle,
) -> RequestChecks:
    """Return the request checks of this gateway."""
    return RequestChecks(lifecycle, RegionGuard(fleet, active))


def check_sizes(line: str, pairs: Iterable[tuple[bytes, bytes]]) -> None:
    """Check the sizes of the request line and of the headers, in bytes.

    Raises
    ------
    HeadersTooLargeError
        If one of them is over `MAX_HEADER_BYTES`, or all together are over
        `MAX_TOTAL_HEADER_BYTES`.
    """
    sizes = [len(b''.join(pair)) for pair in pairs]
    sizes.append(len(line))
    is_long = max(sizes) > MAX_HEADER_BYTES
    if is_long or sum(sizes) > MAX_TOTAL_HEADER_BYTES:
        raise HeadersTooLargeError(
            'the request line or the headers are over their limit'
        )
