"""How one engine is started."""

from datetime import timedelta
from pathlib import Path

import msgspec

from baobabhinge_standins.engine.batch import EngineSpeed
from baobabhinge_standins.engine.models import Fencing


class EngineOptions(msgspec.Struct, frozen=True):
    """Options of one engine.

    Parameters
    ----------
    speed : EngineSpeed
        Slots, timing and cache.
    fencing : Fencing
        What becomes of orders with an older number.
    weights : str
        Base URL of the weight store; empty if weights need no reading.
    load_lag, event_lag : timedelta
        Least age of load reports and of cache events.
    event_gap : int
        Each cache event whose number this divides is missing; 0 for none.
    journal : Path, optional
        File that keeps the journal over the end of the process.
    """

    speed: EngineSpeed = EngineSpeed()
    fencing: Fencing = Fencing.ignore
    weights: str = ''
    load_lag: timedelta = timedelta(milliseconds=250)
    event_lag: timedelta = timedelta(milliseconds=500)
    event_gap: int = 50
    journal: Path | None = None
