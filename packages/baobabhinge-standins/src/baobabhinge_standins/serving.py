"""Running one aiohttp application until the process is told to stop."""

from aiohttp import web

HOST = '127.0.0.1'


def serve(app: web.Application, port: int) -> None:
    """Serve ``app`` on the loopback address until SIGTERM."""
    web.run_app(app, host=HOST, port=port, print=None, access_log=None)
