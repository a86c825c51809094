"""The end of a soak: everything healed, then everything read."""

import asyncio
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

from baobabhinge_standins.fleet import PublishFailedError, wait_until
from baobabhinge_standins.soak.attempts import CallRecord
from baobabhinge_standins.soak.evidence import Evidence
from baobabhinge_standins.soak.monitor import GenerationMonitor
from baobabhinge_standins.soak.stage import Stage
from baobabhinge_standins.soak.strays import find_strays
from baobabhinge_standins.traffic.audit import read_journals

SETTLE_SPAN = timedelta(seconds=2)
AGREEMENT_PATIENCE = timedelta(seconds=20)


async def gather_evidence(
    stage: Stage,
    monitor: GenerationMonitor,
    records: list[CallRecord],
    folder: Path,
) -> Evidence:
    """Wait until the deployment has recovered, and read what is left.

    Parameters
    ----------
    stage : Stage
        Deployment without faults.
    monitor : GenerationMonitor
        Generations seen so far.
    records : list of CallRecord
        Every call.
    folder : Path
        Folder of logs and journals.
    """
    await _recover(stage, monitor)
    return Evidence(
        records,
        await read_journals(stage.deployment),
        list(find_strays(stage.deployment, folder)),
        monitor.seen,
        await monitor.read_all(),
    )


async def _recover(stage: Stage, monitor: GenerationMonitor) -> None:
    await stage.revive_all()
    await stage.deployment.wait_ready()
    await wait_until(lambda: _publish(stage))
    with suppress(TimeoutError):
        await wait_until(
            lambda: _agrees(monitor),
            AGREEMENT_PATIENCE,
        )
    # Messages that were held back arrive late and must have no effect.
    await asyncio.sleep(SETTLE_SPAN.total_seconds())


async def _publish(stage: Stage) -> bool:
    try:
        await stage.publish_change()
    except PublishFailedError:
        return False
    return True


async def _agrees(monitor: GenerationMonitor) -> bool:
    generations = await monitor.read_all()
    return len(set(generations.values())) == 1
