"""Heads of callers' requests, and the checks that need no body."""

import msgspec
from aiohttp import web

from baobabhinge_gateway.access import CallAccess
from baobabhinge_gateway.deployment import RequestLimits, Route
from baobabhinge_gateway.forwarding.call import CallHead
from baobabhinge_gateway.forwarding.ingress_context import IngressContext
from baobabhinge_gateway.forwarding.problems import (
    NoConfigurationError,
    NoRouteError,
)
from baobabhinge_gateway.forwarding.protocols import CallerProtocol


class CheckedHead(msgspec.Struct):
    """Head of a request that may become a call.

    Parameters
    ----------
    head : CallHead
        The head, without what servers may not see.
    route : Route
        Route of the call.
    access : CallAccess
        Access of the caller.
    limits : RequestLimits
        Bounds on the body.
    """

    head: CallHead
    route: Route
    access: CallAccess
    limits: RequestLimits


def check_head(
    request: web.BaseRequest,
    context: IngressContext,
    protocol: CallerProtocol,
) -> CheckedHead:
    """Return the head of a request that the configuration in force accepts.

    Raises
    ------
    CallError
        If the head is malformed, no route matches, the caller has no key, or a
        gate refuses it.
    """
    head = protocol.read_head(request)
    configuration = context.configuration
    if configuration.revision is None:
        raise NoConfigurationError('no configuration has been received yet')
    route = configuration.table.find(head.host, head.path)
    if route is None:
        raise NoRouteError(
            f'no route of version {configuration.version} matches host and '
            'path',
        )
    bounds = context.bounds
    access = CallAccess(bounds.access, protocol.read_keys(request))
    access.check(route)
    head = bounds.access.hide_credentials(head)
    bounds.gates.check_head(head, route)
    return CheckedHead(head, route, access, configuration.revision.limits)
