"""Running policies through workloads on one deployment."""

import asyncio
from datetime import timedelta
from pathlib import Path

import msgspec

from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.experiment.actions import ACTIONS
from baobabhinge_standins.experiment.arrivals import draw_arrivals
from baobabhinge_standins.experiment.callers import Outcome, open_callers
from baobabhinge_standins.experiment.sites import Site
from baobabhinge_standins.experiment.summary import (
    RunLog,
    Summary,
    summarize,
)
from baobabhinge_standins.experiment.workloads import WORKLOADS, Event
from baobabhinge_standins.fleet import Deployment, Role

SETTLING = timedelta(seconds=3)


class Trial(msgspec.Struct, frozen=True):
    """One run to be made.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    workload, policy : str
        What is run.
    number : int
        Another one for each run, so that none finds the prompts of another in
        the caches of the engines.
    """

    seed: int
    workload: str
    policy: str
    number: int = 0


class Runner:
    """Run trials one after another on one deployment.

    Parameters
    ----------
    site : Site
        What is deployed.
    running : Deployment
        Its processes.
    folder : Path
        Folder for the operators' settings.
    """

    __slots__ = ('_folder', '_running', '_site')

    def __init__(self, site: Site, running: Deployment, folder: Path) -> None:
        """Keep the parts."""
        self._site = site
        self._running = running
        self._folder = folder

    async def run(self, trial: Trial) -> Summary:
        """Run one trial and return its figures."""
        await self.publish(trial.policy)
        await asyncio.sleep(SETTLING.total_seconds())
        log = RunLog(
            trial.policy,
            trial.workload,
            self._site.goal,
            await self._play(trial),
            await self._read_journals(),
        )
        return summarize(log)

    async def publish(self, policy: str) -> None:
        """Put settings with ``policy`` in force."""
        text = self._site.render_settings(policy)
        (self._folder / '10.ini').write_text(text)
        await self._running.publish_folder(self._folder)

    async def _play(self, trial: Trial) -> list[Outcome]:
        workload = WORKLOADS[trial.workload](self._site)
        faults = asyncio.create_task(self._play_events(workload.events))
        async with open_callers(self._running) as callers:
            outcomes = await callers.send_all(
                draw_arrivals(workload, trial.seed, f'{trial.number}'),
            )
        await faults
        return outcomes

    async def _play_events(self, events: tuple[Event, ...]) -> None:
        passed = timedelta()
        for event in events:
            pause = event.instant - passed
            await asyncio.sleep(pause.total_seconds())
            await ACTIONS[event.action](self._running, event.region)
            passed = event.instant

    async def _read_journals(self) -> dict[str, list[EngineRun]]:
        journals: dict[str, list[EngineRun]] = {}
        for engine in self._running.roster.list_by(Role.engine):
            runs = await self._running.backends.read_engine_runs(engine)
            journals.setdefault(engine.region, []).extend(runs)
        return journals
