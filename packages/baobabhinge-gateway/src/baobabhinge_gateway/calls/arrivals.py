"""Arrival of requests: identifier and gateways passed."""

from datetime import timedelta

from aiohttp import web

from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.calls.call_builders import CallArrival
from baobabhinge_gateway.calls.hops import Hop, HopList


def read_passed_gateways(request: web.Request) -> HopList:
    """Return the gateways that ``request`` has passed.

    The header is read on forwarded requests only, as a caller could claim
    any path.

    Raises
    ------
    MalformedCallError
        If the header `PATH` of the forwarding gateway can't be parsed.
    """
    if not request.path.startswith(f'{headers.FORWARD_PREFIX}/'):
        return HopList()
    return HopList.parse(request.headers.get(headers.PATH, ''))


def record_arrival(
    request: web.Request, hop: Hop, instant: timedelta
) -> CallArrival:
    """Set the identifier of ``request`` and return its arrival.

    A forwarded request keeps its identifier; others get a new one.

    Parameters
    ----------
    request : aiohttp.web.Request
        Request that has arrived; its identifier is stored in it.
    hop : Hop
        This gateway.
    instant : timedelta
        Monotonic time of the arrival.

    Raises
    ------
    MalformedCallError
        If the header `PATH` of the forwarding gateway can't be parsed.
    PathLoopError
        If the request has passed this gateway, or has left this region,
        before.
    """
    passed = read_passed_gateways(request)
    request_id = request.headers.get(headers.REQUEST_ID)
    if request_id is None or not passed.hops:
        request_id = headers.create_request_id()
    request['request_id'] = request_id
    return CallArrival(request_id, instant, passed.extend(hop))
