"""Run the experiment."""

import asyncio
import sys
from itertools import product
from pathlib import Path

import defopt
import msgspec

from baobabhinge_standins.experiment.plots import draw_plot
from baobabhinge_standins.experiment.runner import Trial
from baobabhinge_standins.experiment.starting import start_runner
from baobabhinge_standins.experiment.summary import Summary
from baobabhinge_standins.experiment.tables import render_table
from baobabhinge_standins.experiment.workloads import WORKLOADS

POLICIES = (
    'estimated-latency',
    'least-in-flight',
    'round-robin',
    'home-only',
)


def main(
    site: str = 'tsukushi',
    *,
    policy: list[str] | None = None,
    workload: list[str] | None = None,
    seed: list[int] | None = None,
    plot: Path | None = None,
) -> None:
    """Measure policies under workloads and print a table.

    Parameters
    ----------
    site
        ``tsukushi`` or ``kranfelder``.
    policy
        Routing policies; all of them if none is named.
    workload
        Workloads; all of them if none is named.
    seed
        Seeds of the arrivals; 1 if none is named.
    plot
        Image to write.
    """
    combinations = product(
        seed or [1],
        workload or WORKLOADS,
        policy or POLICIES,
    )
    trials = [
        Trial(*combination, number)
        for number, combination in enumerate(combinations, start=1)
    ]
    summaries = asyncio.run(_run_all(site, trials))
    sys.stdout.write(f'{render_table(summaries)}\n')
    if plot is not None:
        draw_plot(summaries, site, plot)


async def _run_all(site: str, trials: list[Trial]) -> list[Summary]:
    summaries = []
    async with start_runner(site) as runner:
        await runner.run(_make_warm_up(trials[0]))
        for trial in trials:
            summary = await runner.run(trial)
            sys.stderr.write(f'{summary}\n')
            summaries.append(summary)
    return summaries


def _make_warm_up(trial: Trial) -> Trial:
    return msgspec.structs.replace(trial, seed=0, number=0)


if __name__ == '__main__':
    defopt.run(main)
