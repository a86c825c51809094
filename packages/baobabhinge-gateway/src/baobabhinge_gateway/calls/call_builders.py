"""Builders of calls from HTTP requests."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_gateway.calls.bodies import read_body
from baobabhinge_gateway.calls.call import Call
from baobabhinge_gateway.calls.encodings import (
    keep_requested_encoding,
    request_identity_encoding,
)
from baobabhinge_gateway.calls.hops import HopList
from baobabhinge_gateway.calls.model_names import parse_model_name
from baobabhinge_gateway.calls.parsing import (
    find_service,
    parse_model_request,
    parse_terms,
    set_full_model_name,
)
from baobabhinge_gateway.calls.paths import (
    extract_service_path,
    strip_forward_prefix,
)
from baobabhinge_settings.model import ServiceKind, Settings


class CallArrival(msgspec.Struct, frozen=True):
    """Arrival of a call at this gateway.

    Parameters
    ----------
    request_id : str
        Identifier of the call.
    instant : timedelta
        Monotonic time of the arrival.
    hops : HopList
        Gateways passed, this one included.
    """

    request_id: str
    instant: timedelta
    hops: HopList


CallBuilder = Callable[[web.Request, Settings, CallArrival], Awaitable[Call]]


async def build_model_call(
    request: web.Request,
    settings: Settings,
    arrival: CallArrival,
) -> Call:
    """Return the call of a completion request."""
    body = await read_body(request)
    model_request = parse_model_request(body)
    name = parse_model_name(model_request.model)
    service = find_service(settings, name.service, ServiceKind.model)
    model = name.resolve(service)
    return Call(
        request_id=arrival.request_id,
        service=service,
        method=request.method,
        path=strip_forward_prefix(request.path),
        headers=request_identity_encoding(request.headers.items()),
        body=set_full_model_name(body, model_request, model),
        terms=parse_terms(request, arrival.instant, service),
        hops=arrival.hops,
        streamed=model_request.stream,
        model=model,
    )


async def build_plain_call(
    request: web.Request,
    settings: Settings,
    arrival: CallArrival,
) -> Call:
    """Return the call of a request to a plain service."""
    service = find_service(
        settings,
        request.match_info['service'],
        ServiceKind.plain,
    )
    return Call(
        request_id=arrival.request_id,
        service=service,
        method=request.method,
        path=extract_service_path(request.raw_path),
        headers=keep_requested_encoding(request.headers.items()),
        body=await read_body(request),
        terms=parse_terms(request, arrival.instant, service),
        hops=arrival.hops,
    )
