"""Run the stand-in of an application worker."""

from datetime import timedelta
from pathlib import Path

import defopt

from baobabhinge_standins.application.assembly import build_application
from baobabhinge_standins.serving import serve


def main(
    *,
    port: int,
    name: str,
    journal: Path,
    load_lag_ms: int = 250,
) -> None:
    """Serve as one application worker.

    Parameters
    ----------
    port
        TCP port on the loopback address.
    name
        Name of the vm.
    journal
        File that keeps the list of runs.
    load_lag_ms
        Least age of load reports, in milliseconds.
    """
    lag = timedelta(milliseconds=load_lag_ms)
    serve(build_application(name, journal, lag), port)


if __name__ == '__main__':
    defopt.run(main)
