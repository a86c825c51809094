"""Command line of the gateway daemon."""

import sys
from pathlib import Path

import defopt
from mode import Worker

from baobabhinge_gateway.daemon import Gateway
from baobabhinge_gateway.process import (
    ProcessSettingsError,
    read_process_settings,
)
from baobabhinge_gateway.telemetry import set_up_logs

EXIT_BAD_SETTINGS = 2


def serve(*, settings: Path) -> None:
    """Run a gateway until SIGTERM.

    Exit codes: 0 after a graceful stop, 1 if a service failed, as when a
    listen address is in use, 2 for unusable process settings.

    Parameters
    ----------
    settings
        INI file with the process settings of this gateway.
    """
    try:
        process_settings = read_process_settings(settings)
    except ProcessSettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    set_up_logs(process_settings.identity.name)
    worker = Worker(
        Gateway(process_settings),
        override_logging=False,
        daemon=True,
        quiet=True,
    )
    worker.execute_from_commandline()


def run() -> None:
    """Parse the command line and run the daemon."""
    defopt.run(serve)
