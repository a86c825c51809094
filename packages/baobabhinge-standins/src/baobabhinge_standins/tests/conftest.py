"""One small deployment for all scenarios of this folder."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from baobabhinge_standins.fleet import DeploymentPlan, Role, run_deployment
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan

SETTINGS = """
[region west]
failure-domains = west-a
[region east]
failure-domains = east-a
[service llm]
kind = model
deadline = 20 s
[placement llm west]
replicas = 1 vms
[service ledger]
kind = plain
deadline = 5 s
[placement ledger west]
replicas = 1 vms
[placement ledger east]
replicas = 1 vms
"""
PLAN = DeploymentPlan(
    name='small',
    gateways={'west': 1, 'east': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 1),
        BackendPlan('ledger', Role.application, 'west', 1),
        BackendPlan('ledger', Role.application, 'east', 1),
    ),
    wan_latency=WAN_LATENCY,
    link_bits_per_second=1,
)


@asynccontextmanager
async def run_small(folder):
    settings = folder / 'settings'
    settings.mkdir()
    (settings / '10.ini').write_text(SETTINGS)
    async with run_deployment(PLAN, folder) as running:
        await running.publish_folder(settings)
        await running.wait_ready()
        yield running


@pytest.fixture(scope='session')
def loop():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope='session')
def deployment(loop, tmp_path_factory):
    context = run_small(tmp_path_factory.mktemp('small'))
    running = loop.run(context.__aenter__())
    yield running
    loop.run(context.__aexit__(None, None, None))
