"""Deployments of real processes for the scenarios of this folder."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from baobabhinge_standins.fleet import DeploymentPlan, Role, run_deployment
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan
from baobabhinge_standins.tests.steps.confirmations import (
    LEDGER_PLAN,
    LEDGER_SETTINGS,
    Confirmation,
)

SMALL_SETTINGS = """
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
SMALL_PLAN = DeploymentPlan(
    name='small',
    gateways={'west': 1, 'east': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 1),
        BackendPlan('ledger', Role.application, 'west', 1),
        BackendPlan('ledger', Role.application, 'east', 1),
    ),
    wan_latency=WAN_LATENCY,
    link_bits_per_second=1_000_000_000,
)


@asynccontextmanager
async def run_configured(plan, settings_text, folder):
    """Yield a deployment that serves with the given settings."""
    settings = folder / 'settings'
    settings.mkdir()
    (settings / '10.ini').write_text(settings_text)
    async with run_deployment(plan, folder) as running:
        await running.publish_folder(settings)
        await running.wait_ready()
        yield running


@pytest.fixture(scope='session')
def loop():
    """Yield the runner on which every coroutine of the session runs."""
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture
def launch(loop, tmp_path):
    """Yield a function that starts a deployment of this test alone."""
    contexts = []

    def start(plan=SMALL_PLAN, settings_text=SMALL_SETTINGS):
        context = run_configured(plan, settings_text, tmp_path)
        running = loop.run(context.__aenter__())
        contexts.append(context)
        return running

    yield start
    for context in contexts:
        loop.run(context.__aexit__(None, None, None))


@pytest.fixture(scope='session')
def deployment(loop, tmp_path_factory):
    """Yield one deployment that no scenario may harm."""
    folder = tmp_path_factory.mktemp('small')
    context = run_configured(SMALL_PLAN, SMALL_SETTINGS, folder)
    yield loop.run(context.__aenter__())
    loop.run(context.__aexit__(None, None, None))


@pytest.fixture(scope='session')
def ledger(loop, tmp_path_factory):
    folder = tmp_path_factory.mktemp('ledger')
    context = run_configured(LEDGER_PLAN, LEDGER_SETTINGS, folder)
    yield loop.run(context.__aenter__())
    loop.run(context.__aexit__(None, None, None))


@pytest.fixture
def http(loop):
    async def open_session():
        return aiohttp.ClientSession()

    session = loop.run(open_session())
    yield session
    loop.run(session.close())


@pytest.fixture
def confirmation(ledger, http, loop):
    confirmation = Confirmation(ledger, http)
    yield confirmation
    loop.run(confirmation.heal())
