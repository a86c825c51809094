"""Look-up of the route of a call."""

from collections.abc import Iterable

from baobabhinge_gateway.deployment.routes import Route


class RouteTable:
    """Routes by host and path prefix.

    Parameters
    ----------
    routes : iterable of Route
        All routes of one configuration.
    """

    __slots__ = ('_hosts',)

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index the routes."""
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``.

        Parameters
        ----------
        host : str
            Host of the request, without a port.
        path : str
            Path without a query.
        """
        prefixes = self._hosts.get(host.lower(), {})
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
