"""Checks of a request before its body is read."""

from collections.abc import Iterable

from aiohttp import web

from baobabhinge_gateway.callers.guards import RegionGuard
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import BodyTooLargeError, HeadersTooLargeError
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle

MAX_HEADER_BYTES = 8 << 10
MAX_ALL_HEADERS_BYTES = 32 << 10
MAX_BODY_BYTES = 4 << 20


class ArrivalChecks:
    """Refuse what this gateway may not or does not take.

    Parameters
    ----------
    lifecycle : Lifecycle
        Whether this gateway takes calls.
    guard : RegionGuard
        Refuses what is bound to other regions.
    """

    __slots__ = ('_lifecycle', 'guard')

    def __init__(self, lifecycle: Lifecycle, guard: RegionGuard) -> None:
        """Keep the parts."""
        self._lifecycle = lifecycle
        self.guard = guard

    def check(self, request: web.Request) -> None:
        """Check headers, region and length; the body stays unread.

        Raises
        ------
        CallError
            If the request is refused; it was not run.
        """
        self._lifecycle.record_call()
        check_sizes(request.raw_path, request.raw_headers)
        self.guard.check_request(request)
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise BodyTooLargeError('the body is over the limit')


def build_checks(
    fleet: FleetView,
    active: ActiveConfiguration,
    lifecycle: Lifecycle,
) -> ArrivalChecks:
    """Return the checks of one gateway."""
    return ArrivalChecks(lifecycle, RegionGuard(fleet, active))


def check_sizes(line: str, pairs: Iterable[tuple[bytes, bytes]]) -> None:
    """Check the request line and the headers against their limits.

    Raises
    ------
    HeadersTooLargeError
        If one of them, or all together, are too long.
    """
    sizes = [len(b''.join(pair)) for pair in pairs]
    sizes.append(len(line))
    is_long = max(sizes) > MAX_HEADER_BYTES
    if is_long or sum(sizes) > MAX_ALL_HEADERS_BYTES:
        raise HeadersTooLargeError('the line or a header is over the limit')
