"""Putting an application worker together."""

from datetime import timedelta
from pathlib import Path

from aiohttp import web

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.application.app import ApplicationApp
from baobabhinge_standins.application.messages import Run
from baobabhinge_standins.journal import Journal
from baobabhinge_standins.load import LoadReport


def build_application(
    name: str,
    journal: Path | None,
    load_lag: timedelta,
) -> web.Application:
    """Return the application of one worker with its routes.

    Parameters
    ----------
    name : str
        Name of the vm.
    journal : Path, optional
        File that keeps the journal over the end of the process.
    load_lag : timedelta
        Least age of load reports.
    """
    app = web.Application()
    worker = ApplicationApp(name, Journal(Run, journal))
    report = LoadReport(SystemClock(), load_lag, worker.measure)
    app.router.add_get('/load', report.report)
    app.cleanup_ctx.append(report.keep_sampling)
    worker.add_to(app)
    return app
