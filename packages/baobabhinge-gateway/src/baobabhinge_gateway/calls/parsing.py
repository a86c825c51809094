"""Reading calls from HTTP requests."""

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
    """The part of a completion request that the gateway reads."""

    model: str
    stream: bool = False
    resume_from: int = 0


def parse_terms(
    request: web.Request,
    now: timedelta,
    service: Service,
) -> CallTerms:
    """Read deadline, region and workspace from the headers.

    Raises
    ------
    MalformedCallError
        If the deadline is not a positive whole number of milliseconds.
    """
    text = request.headers.get(headers.DEADLINE)
    patience = service.deadline
    if text is not None:
        patience = min(patience, _parse_time_limit(text))
    return CallTerms(
        now + patience,
        parse_regions(request.headers.get(headers.REGION_BOUND)),
        request.headers.get(headers.WORKSPACE, ''),
    )


def _parse_time_limit(text: str) -> timedelta:
    digits = text.lstrip('0')
    if not (digits.isascii() and digits.isdigit()):
        raise MalformedCallError(
            f'{headers.DEADLINE} is a positive whole number of milliseconds',
        )
    # A longer number is above every service's own deadline all the same.
    return timedelta(milliseconds=int(digits[:MAX_DEADLINE_DIGITS]))


def parse_model_request(body: bytes) -> ModelRequest:
    """Read the model and the streaming flag of a completion request.

    Raises
    ------
    MalformedCallError
        If the body is not JSON or lacks the model.
    """
    try:
        return msgspec.json.decode(body, type=ModelRequest)
    except msgspec.MsgspecError as bad:
        raise MalformedCallError(f'the body is malformed: {bad}') from bad
    except RecursionError as deep:
        raise MalformedCallError('the body is nested too deep') from deep


def set_full_model_name(
    body: bytes, asked: ModelRequest, model: ModelName
) -> bytes:
    """Return ``body`` with its model named in full.

    Parameters
    ----------
    body : bytes
        Body of a completion request.
    asked : ModelRequest
        What was read from it.
    model : ModelName
        The model with the version that has to answer.
    """
    name = model.render()
    if name == asked.model:
        return body
    return replace_field(body, MODEL_FIELD, msgspec.json.encode(name))


def find_service(
    settings: Settings,
    name: str,
    kind: ServiceKind,
) -> Service:
    """Return the service called ``name`` if it is of this kind.

    Raises
    ------
    UnknownServiceError
        If there is none.
    """
    service = settings.find_service(name)
    if service is None or service.kind is not kind:
        raise UnknownServiceError(f'no {kind} service has this name')
    return service
