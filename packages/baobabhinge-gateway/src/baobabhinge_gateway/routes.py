"""Applications put together from parts that add their own paths."""

from collections.abc import Iterable
from random import SystemRandom
from typing import Protocol

from aiohttp import web

from baobabhinge_gateway.callers.checks import MAX_BODY_BYTES
from baobabhinge_gateway.callers.problems import ProblemRenderer


class Routes(Protocol):
    """A part that serves some paths."""

    def add_to(self, app: web.Application) -> None:
        """Add the paths to ``app``."""


def build_app(parts: Iterable[Routes]) -> web.Application:
    """Return an application with the paths of all ``parts``."""
    problems = ProblemRenderer(SystemRandom())
    app = web.Application(
        middlewares=[problems.answer_problems],
        client_max_size=MAX_BODY_BYTES,
    )
    for part in parts:
        part.add_to(app)
    return app
