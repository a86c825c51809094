"""Run the stand-in of a model engine."""

from pathlib import Path

import defopt

from baobabhinge_standins.engine.assembly import build_engine
from baobabhinge_standins.engine.batch import EngineSpeed
from baobabhinge_standins.engine.models import Fencing
from baobabhinge_standins.engine.options import EngineOptions
from baobabhinge_standins.serving import serve


def main(
    *,
    port: int,
    journal: Path,
    slots: int = 8,
    fencing: Fencing = Fencing.ignore,
    weights: str = '',
) -> None:
    """Serve as one model engine.

    Parameters
    ----------
    port
        TCP port on the loopback address.
    journal
        File that keeps the list of runs.
    slots
        Requests decoded at once.
    fencing
        Whether orders with an older fencing number are refused.
    weights
        Base URL of the weight store; empty if weights need no reading.
    """
    options = EngineOptions(
        speed=EngineSpeed(slots=slots),
        fencing=fencing,
        weights=weights,
        journal=journal,
    )
    serve(build_engine(options), port)


if __name__ == '__main__':
    defopt.run(main)
