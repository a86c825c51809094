"""Run the demo."""

import sys
import tempfile
from datetime import timedelta
from pathlib import Path

import defopt

from baobabhinge_standins.demo.running import run_demo
from baobabhinge_standins.demo.table import DemoEnd, render_table
from baobabhinge_standins.fleet import PLANS
from baobabhinge_standins.stopping import run_until_stopped

DEFAULT_SECONDS = 20
DEFAULT_RATE = 25
EXIT_STOPPED = 130


def main(
    deployment: str = 'tsukushi',
    *,
    seconds: int = DEFAULT_SECONDS,
    rate: int = DEFAULT_RATE,
) -> None:
    """Run one deployment as real processes and play its requests.

    Exit codes: 0 if every request was answered whole or told that it was not
    run and none ran twice, 1 if not, 2 for an unknown deployment, 130 if the
    demo was stopped.

    Parameters
    ----------
    deployment
        ``tsukushi`` or ``kranfelder``.
    seconds
        How long requests are sent, in seconds.
    rate
        Requests sent a second.
    """
    if deployment not in PLANS:
        known = ', '.join(PLANS)
        sys.stderr.write(f'no deployment {deployment}; known: {known}\n')
        sys.exit(2)
    span = timedelta(seconds=seconds)
    with tempfile.TemporaryDirectory() as folder:
        end = run_until_stopped(
            run_demo(PLANS[deployment], Path(folder), span, rate),
        )
    sys.exit(_report(end))


def _report(end: DemoEnd | None) -> int:
    if end is None:
        sys.stderr.write('stopped\n')
        return EXIT_STOPPED
    table = render_table(end)
    sys.stdout.write(f'{table}\n')
    return 0 if end.is_success else 1


if __name__ == '__main__':
    defopt.run(main, argparse_kwargs={'prog': 'bin/demo'})
