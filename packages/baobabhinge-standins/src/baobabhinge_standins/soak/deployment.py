"""The deployment on which a soak runs."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from pathlib import Path

from baobabhinge_standins.fleet import (
    BackendPlan,
    DeploymentPlan,
    Role,
    run_deployment,
)
from baobabhinge_standins.fleet.settings import (
    render_model,
    render_run_once,
    render_settings,
)
from baobabhinge_standins.soak.stage import Stage

REGIONS = ('west', 'east', 'north')
PLAN = DeploymentPlan(
    name='soak',
    gateways={region: 2 for region in REGIONS},
    backends=tuple(
        BackendPlan(service, role, region, 1)
        for region in REGIONS
        for service, role in (
            ('llm', Role.engine),
            ('ledger', Role.application),
        )
    ),
    wan_latency=timedelta(milliseconds=20),
    link_bits_per_second=70_000_000,
    faulty_backends=True,
    faulty_peers=True,
)
SETTINGS = render_settings(
    PLAN,
    render_model('8 s'),
    '[service ledger]\nkind = plain',
    render_run_once('confirm-trade', 'POST', '/trades/*/confirm'),
)


@asynccontextmanager
async def run_stage(folder: Path) -> AsyncIterator[Stage]:
    """Yield the stage of a soak, with every gateway serving.

    Parameters
    ----------
    folder : Path
        Folder of logs, journals and settings.
    """
    settings = folder / 'settings'
    settings.mkdir()
    (settings / '10-all.ini').write_text(SETTINGS)
    async with run_deployment(PLAN, folder) as deployment:
        stage = Stage(deployment, settings)
        await stage.publish_change()
        await deployment.wait_ready()
        yield stage
