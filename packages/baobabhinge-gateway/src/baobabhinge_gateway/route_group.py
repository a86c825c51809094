"""Protocol for objects that add their routes to a web application."""

from typing import Protocol

from aiohttp import web


class RouteGroup(Protocol):
    """Handlers of some paths of a web application."""

    def add_to(self, app: web.Application) -> None:
        """Register the handlers with the router of ``app``."""
