"""The way that a request has come."""

from datetime import timedelta

from aiohttp import web

from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.calls.call_builders import CallArrival
from baobabhinge_gateway.calls.hops import Hop, HopList


def read_passed_gateways(request: web.Request) -> HopList:
    """Return the gateways that ``request`` has passed.

    Only gateways are believed; what a caller says of its way is left aside.

    Raises
    ------
    MalformedCallError
        If a gateway's list can't be read.
    """
    if not request.path.startswith(f'{headers.FORWARD_PREFIX}/'):
        return HopList()
    return HopList.parse(request.headers.get(headers.PATH, ''))


def record_arrival(
    request: web.Request, hop: Hop, instant: timedelta
) -> CallArrival:
    """Give ``request`` its identifier and return its arrival.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    hop : Hop
        This gateway.
    instant : timedelta
        Monotonic time of the arrival.

    Raises
    ------
    MalformedCallError
        If a gateway's list can't be read.
    PathLoopError
        If the request comes to this place for the second time.
    """
    passed = read_passed_gateways(request)
    request_id = request.headers.get(headers.REQUEST_ID)
    if request_id is None or not passed.hops:
        request_id = headers.create_request_id()
    request['request_id'] = request_id
    return CallArrival(request_id, instant, passed.extend(hop))
