"""Assembly of web applications from groups of routes."""

from collections.abc import Iterable
from random import SystemRandom

from aiohttp import web

from baobabhinge_gateway.callers.problems import ProblemRenderer
from baobabhinge_gateway.callers.request_checks import MAX_BODY_BYTES
from baobabhinge_gateway.listener import Listener
from baobabhinge_gateway.route_group import RouteGroup


def build_app(route_groups: Iterable[RouteGroup]) -> web.Application:
    """Return an application with the routes of all ``route_groups``."""
    problems = ProblemRenderer(SystemRandom())
    app = web.Application(
        middlewares=[problems.handle_errors],
        client_max_size=MAX_BODY_BYTES,
    )
    for group in route_groups:
        group.add_to(app)
    return app


def build_listener(address: str, *route_groups: RouteGroup) -> Listener:
    """Return a service that serves all ``route_groups`` at ``address``."""
    return Listener(build_app(route_groups), address)
