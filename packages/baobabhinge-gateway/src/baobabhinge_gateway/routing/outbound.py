"""Requests that send a call to a backend server or another gateway."""

from datetime import timedelta

from baobabhinge_gateway.backends import ExchangeRequest
from baobabhinge_gateway.calls import Call, headers
from baobabhinge_gateway.calls.call import Headers
from baobabhinge_gateway.calls.region_binding import render_regions
from baobabhinge_gateway.routing.targets import RoutingTarget
from baobabhinge_settings.model import ServiceKind

MILLISECOND = timedelta(milliseconds=1)


def build_outbound(
    call: Call,
    target: RoutingTarget,
    time_left: timedelta,
    *,
    is_retry: bool = False,
) -> ExchangeRequest:
    """Return the request that sends ``call`` to ``target``.

    Parameters
    ----------
    call : Call
        Call to send.
    target : RoutingTarget
        Backend server or remote gateway.
    time_left : timedelta
        Time left until the deadline of the call.
    is_retry : bool, optional
        Whether an earlier attempt of the call has failed.
    """
    pairs: Headers = (
        *call.headers,
        (headers.REQUEST_ID, call.request_id),
    )
    path = call.path
    if target.is_remote:
        pairs = (*pairs, *_list_forward_headers(call, time_left))
        path = _get_forward_path(call)
    address = target.vm.address
    return ExchangeRequest(
        call.method,
        f'http://{address}{path}',
        pairs,
        call.body,
        time_left,
        is_retry,
    )


def _list_forward_headers(call: Call, time_left: timedelta) -> Headers:
    milliseconds = max(1, time_left // MILLISECOND)
    pairs = (
        (headers.PATH, call.hops.render()),
        (headers.DEADLINE, str(milliseconds)),
        (headers.WORKSPACE, call.terms.workspace),
    )
    if call.terms.regions is None:
        return pairs
    binding = render_regions(call.terms.regions)
    return (*pairs, (headers.REGION_BOUND, binding))


def _get_forward_path(call: Call) -> str:
    if call.service.kind is ServiceKind.model:
        return f'{headers.FORWARD_PREFIX}{call.path}'
    service = call.service.name
    return f'{headers.FORWARD_PREFIX}/services/{service}{call.path}'
