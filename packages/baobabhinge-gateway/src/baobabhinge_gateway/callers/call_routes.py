"""Paths at which calls arrive."""

from aiohttp import web

from baobabhinge_gateway.callers.call_server import CallServer
from baobabhinge_gateway.calls.headers import FORWARD_PREFIX

PLAIN_PATH = '/services/{service}/{rest:.*}'
MODEL_PATHS = ('/v1/chat/completions', '/v1/completions')


class CallRoutes:
    """Register the paths of completions and of plain services.

    Parameters
    ----------
    calls : CallServer
        Server of calls.
    prefix : str, optional
        Prefix of the paths; empty on the listener for callers.
    """

    __slots__ = ('_calls', '_prefix')

    def __init__(self, calls: CallServer, prefix: str = '') -> None:
        """Store the server and the prefix."""
        self._calls = calls
        self._prefix = prefix

    def add_to(self, app: web.Application) -> None:
        """Add the paths, and time the first token of each stream."""
        app.on_response_prepare.append(self._calls.record_first_token)
        for path in MODEL_PATHS:
            app.router.add_post(
                f'{self._prefix}{path}',
                self._calls.serve_model,
                expect_handler=self._calls.send_continue,
            )
        app.router.add_route(
            '*',
            f'{self._prefix}{PLAIN_PATH}',
            self._calls.serve_plain,
            expect_handler=self._calls.send_continue,
        )


def build_forward_routes(calls: CallServer) -> CallRoutes:
    """Return the paths at which other gateways forward calls."""
    return CallRoutes(calls, FORWARD_PREFIX)
