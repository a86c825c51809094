"""Parsing of the headers and bodies of calls."""

from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.calls.call import CallTerms
from baobabhinge_gateway.calls.json_fields import replace_field
from baobabhinge_gateway.calls.model_names import ModelName
from baobabhinge_gateway.calls.region_binding import parse_regions
from baobabhinge_gateway.errors import (
    MalformedCallError,
    UnknownServiceError,
)
from baobabhinge_settings.model import Service, ServiceKind, Settings

MAX_DEADLINE_DIGITS = 12
MODEL_FIELD = 'model'


class ModelRequest(msgspec.Struct):
    """Fields of a completion request that the gateway reads."""

    model: str
    stream: bool = False
    resume_from: int = 0


def parse_terms(
    request: web.Request,
    now: timedelta,
    service: Service,
) -> CallTerms:
    """Parse deadline, regions and workspace from the headers.

    The deadline of the service bounds the one that the caller asks for.

    Raises
    ------
    MalformedCallError
        If the deadline is not a positive integer of milliseconds, or if a
        region has no name.
    """
    text = request.headers.get(headers.DEADLINE)
    time_limit = service.deadline
    if text is not None:
        time_limit = min(time_limit, _parse_time_limit(text))
    return CallTerms(
        now + time_limit,
        parse_regions(request.headers.get(headers.REGION_BOUND)),
        request.headers.get(headers.WORKSPACE, ''),
    )


def _parse_time_limit(text: str) -> timedelta:
    digits = text.lstrip('0')
    if not (digits.isascii() and digits.isdigit()):
        raise MalformedCallError(
            f'{headers.DEADLINE} must be a positive integer of milliseconds',
        )
    # A longer number is above the deadline of every service anyway.
    return timedelta(milliseconds=int(digits[:MAX_DEADLINE_DIGITS]))


def parse_model_request(body: bytes) -> ModelRequest:
    """Parse the fields of a completion request that the gateway reads.

    Raises
    ------
    MalformedCallError
        If the body is not a JSON object with these fields, or is nested too
        deeply.
    """
    try:
        return msgspec.json.decode(body, type=ModelRequest)
    except msgspec.MsgspecError as bad:
        raise MalformedCallError(
            f'the request body is malformed: {bad}'
        ) from bad
    except RecursionError as deep:
        raise MalformedCallError(
            'the request body is nested too deeply'
        ) from deep


def set_full_model_name(
    body: bytes, model_request: ModelRequest, model: ModelName
) -> bytes:
    """Return ``body`` with the full name of its model.

    Parameters
    ----------
    body : bytes
        Body of a completion request.
    model_request : ModelRequest
        Fields parsed from it.
    model : ModelName
        Model, with the version to run.
    """
    name = model.render()
    if name == model_request.model:
        return body
    return replace_field(body, MODEL_FIELD, msgspec.json.encode(name))


def find_service(
    settings: Settings,
    name: str,
    kind: ServiceKind,
) -> Service:
    """Return the service ``name`` of the given kind.

    Raises
    ------
    UnknownServiceError
        If no service of this kind has the name.
    """
    service = settings.find_service(name)
    if service is None or service.kind is not kind:
        raise UnknownServiceError(f'no {kind} service has this name')
    return service
