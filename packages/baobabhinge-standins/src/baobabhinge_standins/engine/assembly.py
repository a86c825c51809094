"""Putting an engine together."""

from aiohttp import web

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.engine.app import CompletionRoutes
from baobabhinge_standins.engine.batch import Batch
from baobabhinge_standins.engine.events import CacheEventLog
from baobabhinge_standins.engine.faults import FaultDesk
from baobabhinge_standins.engine.models import ModelShelf
from baobabhinge_standins.engine.options import EngineOptions
from baobabhinge_standins.engine.orderroutes import add_orders
from baobabhinge_standins.engine.reporting import EngineMeter
from baobabhinge_standins.engine.running import Runner, build_runner
from baobabhinge_standins.load import LoadReport


def build_engine(options: EngineOptions) -> web.Application:
    """Return the application of one engine with its routes."""
    app = web.Application()
    faults = FaultDesk()
    shelf = ModelShelf(options.fencing)
    batch = Batch(options.speed)
    app.router.add_put('/-/faults', faults.apply)
    add_orders(app, shelf, options.weights)
    _add_load(app, options, EngineMeter(batch, shelf, faults))
    runner = _add_runner(app, options, batch)
    CompletionRoutes(shelf, faults, runner).add_to(app)
    return app


def _add_load(
    app: web.Application,
    options: EngineOptions,
    meter: EngineMeter,
) -> None:
    report = LoadReport(SystemClock(), options.load_lag, meter.measure)
    app.router.add_get('/load', report.report)
    app.cleanup_ctx.append(report.keep_sampling)


def _add_runner(
    app: web.Application,
    options: EngineOptions,
    batch: Batch,
) -> Runner:
    events = CacheEventLog(
        SystemClock(),
        options.event_lag,
        options.event_gap,
    )
    app.router.add_get('/v1/cache-events', events.report)
    runner = build_runner(options, batch, events.add)
    app.router.add_get('/-/runs', runner.journal.report)
    return runner
