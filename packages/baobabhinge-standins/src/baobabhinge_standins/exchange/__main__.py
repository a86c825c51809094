"""Measure how fast changes reach all gateways."""

import sys

import defopt
import structlog

from baobabhinge_standins.exchange.measuring import play, spread_evenly
from baobabhinge_standins.exchange.scenarios import SCENARIOS
from baobabhinge_standins.exchange.virtual_time import run_virtually

ERROR = 40
MEGABITS = 10.0
FEWEST = 195


def measure(
    *gateways: int,
    scenario: list[str] | None = None,
    megabits: float = MEGABITS,
    seed: int = 1,
) -> None:
    """Play series of changes and print a line for each.

    Parameters
    ----------
    gateways
        Numbers of gateways in three regions; 195 if none is given.
    scenario
        Names of the series; all if none is given.
    megabits
        Bandwidth of each gateway's link, in megabits a second.
    seed
        Seed of names and choices.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(ERROR)
    )
    for count in gateways or (FEWEST,):
        for name in scenario or SCENARIOS:
            counts = spread_evenly(count)
            shown = run_virtually(play(name, counts, megabits, seed))
            sys.stdout.write(f'{count} {name}: {shown.describe()}\n')


if __name__ == '__main__':
    defopt.run(measure)
