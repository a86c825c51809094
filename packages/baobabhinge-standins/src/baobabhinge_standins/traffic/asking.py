"""Requests as the caller library takes them."""

from http import HTTPMethod

from baobabhinge_caller import Completion, Message, ServiceCall, Terms
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.traffic.requests import Request


def build_completion(request: Request, order: EngineRequest) -> Completion:
    """Return the completion of a request."""
    return Completion(
        order.model,
        order.prompt,
        order.max_tokens,
        build_terms(request),
        tuple(Message(part.role, part.text) for part in order.messages),
    )


def build_call(request: Request) -> ServiceCall:
    """Return the call of a plain service."""
    return ServiceCall(
        request.service,
        request.target,
        HTTPMethod(request.method),
        request.body,
        not request.is_run_once,
        build_terms(request),
    )


def build_terms(request: Request) -> Terms:
    """Return the terms of a request."""
    regions = (request.region,) if request.is_bound else ()
    return Terms(regions=regions, workspace=request.workspace)
