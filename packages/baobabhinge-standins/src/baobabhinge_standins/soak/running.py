"""The course of a soak."""

from datetime import timedelta
from pathlib import Path
from random import Random

from baobabhinge_standins.soak.attempts import CallRecord
from baobabhinge_standins.soak.closing import gather_evidence
from baobabhinge_standins.soak.deployment import run_stage
from baobabhinge_standins.soak.evidence import Evidence
from baobabhinge_standins.soak.load import run_load
from baobabhinge_standins.soak.monitor import run_monitor
from baobabhinge_standins.soak.playing import (
    plan_rounds,
    play_rounds,
    show_schedule,
)
from baobabhinge_standins.soak.schedule import Round
from baobabhinge_standins.soak.stage import Stage


async def run_soak(seed: int, span: timedelta, folder: Path) -> Evidence:
    """Bring faults about for ``span`` and return what is left behind.

    Parameters
    ----------
    seed : int
        Seed of the schedule and of the load.
    span : timedelta
        Time to fill with rounds of faults.
    folder : Path
        Folder of logs, journals and settings.
    """
    random = Random(seed)
    async with run_stage(folder) as stage:
        rounds = plan_rounds(stage, random, span)
        show_schedule(seed, rounds)
        async with run_monitor(stage.deployment) as monitor:
            records = await _load_and_play(stage, random, rounds)
            return await gather_evidence(stage, monitor, records, folder)


async def _load_and_play(
    stage: Stage,
    random: Random,
    rounds: list[Round],
) -> list[CallRecord]:
    records: list[CallRecord] = []
    async with run_load(stage.deployment, random, records):
        await play_rounds(stage, rounds)
    return records
