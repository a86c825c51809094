"""The course of a demo."""

import asyncio
from datetime import timedelta
from pathlib import Path

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.demo.desks import open_desks
from baobabhinge_standins.demo.player import Player
from baobabhinge_standins.demo.table import DemoEnd, Summary
from baobabhinge_standins.fleet import (
    Deployment,
    DeploymentPlan,
    Role,
    run_deployment,
)
from baobabhinge_standins.output import show_line
from baobabhinge_standins.traffic import Records, read_script
from baobabhinge_standins.traffic.audit import (
    count_doubled,
    measure_sent_away,
    read_journals,
)
from baobabhinge_standins.traffic.costs import measure_cost

EXAMPLES = Path('examples')
ONE_SECOND = timedelta(seconds=1)


async def run_demo(
    plan: DeploymentPlan,
    folder: Path,
    span: timedelta,
    rate: int,
) -> DemoEnd:
    """Start a deployment, play its script and return what became of it.

    Parameters
    ----------
    plan : DeploymentPlan
        Deployment to start.
    folder : Path
        Folder of logs and journals.
    span : timedelta
        How long requests are sent.
    rate : int
        Requests sent a second.
    """
    show_line(f'{plan.name}: starting {len(plan.gateways)} regions')
    async with run_deployment(plan, folder) as running:
        await running.publish_folder(EXAMPLES / plan.name / 'settings')
        await running.wait_ready()
        engines = running.roster.list_by(Role.engine)
        await running.backends.wait_loaded(engines)
        show_line('every gateway serves, every engine has loaded its model')
        records = await _play(running, plan, span, ONE_SECOND / rate)
        return DemoEnd(records, await _summarize(running, records))


async def _play(
    running: Deployment,
    plan: DeploymentPlan,
    span: timedelta,
    interval: timedelta,
) -> Records:
    script = read_script(EXAMPLES / plan.name)
    async with open_desks(running, plan.gateways) as desks:
        player = Player(desks, SystemClock())
        progress = asyncio.create_task(player.show_progress())
        try:
            await player.play(script, interval, span)
        finally:
            progress.cancel()
        return player.records


async def _summarize(running: Deployment, records: Records) -> Summary:
    journals = await read_journals(running)
    return Summary(
        count_doubled(journals, records.samples),
        measure_sent_away(journals, records.samples),
        await measure_cost(running, journals),
    )
