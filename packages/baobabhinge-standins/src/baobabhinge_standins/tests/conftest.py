"""Deployments of real processes for the scenarios of this folder."""

import asyncio
from contextlib import asynccontextmanager, contextmanager

import aiohttp
import pytest

from baobabhinge_standins.fleet import DeploymentPlan, Role, run_deployment
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan
from baobabhinge_standins.fleet.settings import (
    render_model,
    render_plain,
    render_settings,
)
from baobabhinge_standins.tests.steps.confirmations import (
    LEDGER_PLAN,
    LEDGER_SETTINGS,
    Confirmation,
)

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
SMALL_SETTINGS = render_settings(
    SMALL_PLAN,
    render_model('20 s'),
    render_plain('5 s'),
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


class Launcher:
    """Starts deployments, each in a folder of its own, and ends them."""

    def __init__(self, loop, make_folder):
        self._loop = loop
        self._make_folder = make_folder
        self._contexts = []

    def start(self, plan=SMALL_PLAN, settings_text=SMALL_SETTINGS):
        folder = self._make_folder(plan.name)
        context = run_configured(plan, settings_text, folder)
        running = self._loop.run(context.__aenter__())
        self._contexts.append(context)
        return running

    def end_all(self):
        for context in self._contexts:
            self._loop.run(context.__aexit__(None, None, None))


@pytest.fixture(scope='session')
def make_launcher(loop, tmp_path_factory):
    @contextmanager
    def make():
        launcher = Launcher(loop, tmp_path_factory.mktemp)
        yield launcher.start
        launcher.end_all()

    return make


@pytest.fixture
def launch(make_launcher):
    """Yield a function that starts a deployment of this test alone."""
    with make_launcher() as start:
        yield start


@pytest.fixture(scope='module')
def serve(make_launcher):
    """Yield a function that starts a deployment of the module."""
    with make_launcher() as start:
        yield start


@pytest.fixture(scope='session')
def deployment(make_launcher):
    """Yield one deployment that no scenario may harm."""
    with make_launcher() as start:
        yield start()


@pytest.fixture(scope='session')
def ledger(make_launcher):
    with make_launcher() as start:
        yield start(LEDGER_PLAN, LEDGER_SETTINGS)


def open_session(loop):
    """Yield a client session; a module can make it a fixture of its own."""

    async def create():
        return aiohttp.ClientSession()

    session = loop.run(create())
    yield session
    loop.run(session.close())


http = pytest.fixture(open_session)


@pytest.fixture
def confirmation(ledger, http, loop):
    confirmation = Confirmation(ledger, http)
    yield confirmation
    loop.run(confirmation.heal())
