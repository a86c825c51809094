"""Routes towards callers and towards other gateways."""

from aiohttp import web

from baobabhinge_gateway.callers.entries import EntryReport
from baobabhinge_gateway.callers.problems import answer_problems
from baobabhinge_gateway.callers.service import CallServer
from baobabhinge_gateway.callers.status import StatusReport
from baobabhinge_gateway.calls.headers import FORWARD_PREFIX

PLAIN_PATH = '/services/{service}/{rest:.*}'
MODEL_PATHS = ('/v1/chat/completions', '/v1/completions')
MAX_BODY_BYTES = 4 << 20


def build_caller_app(
    calls: CallServer,
    entries: EntryReport,
    status: StatusReport,
) -> web.Application:
    """Return the application that callers speak to."""
    app = _build_app()
    _add_call_routes(app, calls, '')
    app.router.add_get('/v1/entries', entries.report)
    app.router.add_get('/v1/status', status.report_status)
    app.router.add_get('/healthz', status.report_health)
    app.router.add_get('/readyz', status.report_readiness)
    return app


def build_peer_app(calls: CallServer) -> web.Application:
    """Return the application that other gateways speak to."""
    app = _build_app()
    _add_call_routes(app, calls, FORWARD_PREFIX)
    return app


def _build_app() -> web.Application:
    return web.Application(
        middlewares=[answer_problems],
        client_max_size=MAX_BODY_BYTES,
    )


def _add_call_routes(
    app: web.Application,
    calls: CallServer,
    prefix: str,
) -> None:
    for path in MODEL_PATHS:
        app.router.add_post(f'{prefix}{path}', calls.serve_model)
    app.router.add_route('*', f'{prefix}{PLAIN_PATH}', calls.serve_plain)
