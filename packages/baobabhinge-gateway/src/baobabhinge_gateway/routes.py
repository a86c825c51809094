"""Applications put together from parts that add their own paths."""

from collections.abc import Iterable
from random import SystemRandom

from aiohttp import web

from baobabhinge_gateway.callers.problems import ProblemRenderer
from baobabhinge_gateway.callers.request_checks import MAX_BODY_BYTES
from baobabhinge_gateway.listening import Listener
from baobabhinge_gateway.paths import Routes


def build_app(parts: Iterable[Routes]) -> web.Application:
    """Return an application with the paths of all ``parts``."""
    problems = ProblemRenderer(SystemRandom())
    app = web.Application(
        middlewares=[problems.handle_errors],
        client_max_size=MAX_BODY_BYTES,
    )
    for part in parts:
        part.add_to(app)
    return app


def build_listener(address: str, *parts: Routes) -> Listener:
    """Return what serves the paths of all ``parts`` at ``address``."""
    return Listener(build_app(parts), address)
