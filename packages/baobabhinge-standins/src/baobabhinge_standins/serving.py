"""Running one aiohttp application until the process is told to stop."""

from datetime import timedelta

from aiohttp import web

HOST = '127.0.0.1'
STOP_PATIENCE = timedelta(milliseconds=100)


def serve(app: web.Application, port: int) -> None:
    """Serve ``app`` on the loopback address until SIGTERM.

    A caller that goes away cancels its request.
    """
    web.run_app(
        app,
        host=HOST,
        port=port,
        print=None,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=STOP_PATIENCE.total_seconds(),
    )
