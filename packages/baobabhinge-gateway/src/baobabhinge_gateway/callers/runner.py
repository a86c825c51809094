"""Runner of an application that reports every refusal as a problem."""

import functools
from datetime import timedelta
from random import SystemRandom

from aiohttp import web

from baobabhinge_gateway.callers.connections import GuardedServer
from baobabhinge_gateway.callers.problems import ProblemRenderer

KEEPALIVE_TIMEOUT = timedelta(seconds=75)


class GuardedRunner(web.AppRunner):
    """Run an application on guarded connections.

    The HTTP library refuses some requests before the application's middleware
    sees them, such as one with an unknown ``Expect`` header; these refusals
    are reported as problem details, too.
    """

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        problems = ProblemRenderer(SystemRandom())
        handle_request = functools.partial(
            problems.handle_errors,
            handler=server.request_handler,
        )
        return GuardedServer(
            problems,
            handle_request,
            request_factory=server.request_factory,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT.total_seconds(),
            auto_decompress=False,
        )
