"""Parts of an application that serve some of its paths."""

from typing import Protocol

from aiohttp import web


class RouteGroup(Protocol):
    """A part that serves some paths."""

    def add_to(self, app: web.Application) -> None:
        """Add the paths to ``app``."""
