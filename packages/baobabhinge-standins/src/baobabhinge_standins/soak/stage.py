"""What faults act upon."""

import asyncio
from contextlib import suppress
from datetime import timedelta
from itertools import count
from pathlib import Path

from baobabhinge_standins.fleet import (
    Deployment,
    PublishFailedError,
    Role,
)
from baobabhinge_standins.fleet.readiness import wait_port
from baobabhinge_standins.soak.schedule import TargetKind

FEWEST_SECONDS = 8
CHANGES = 3
STOP_PATIENCE = timedelta(seconds=15)


class Stage:
    """A deployment and the settings that operators change.

    Parameters
    ----------
    deployment : Deployment
        Running deployment.
    settings : Path
        Folder that is published.

    Attributes
    ----------
    numbers : iterator of int
        Numbers that tell changes and marked prompts apart.
    """

    __slots__ = ('_settings', 'deployment', 'numbers')

    def __init__(self, deployment: Deployment, settings: Path) -> None:
        """Change nothing yet."""
        self.deployment = deployment
        self._settings = settings
        self.numbers = count()

    async def revive(self, name: str) -> None:
        """Start the process called ``name`` unless it runs."""
        child = self.deployment.processes.get(name)
        if child.process.returncode is not None:
            await self.deployment.processes.restart(name)

    async def revive_all(self) -> None:
        """Start each member that has ended, and wait until all listen."""
        members = self.deployment.roster.list_all()
        await asyncio.gather(*(self.revive(one.name) for one in members))
        await asyncio.gather(*(wait_port(one.port) for one in members))

    async def stop_gracefully(self, name: str) -> None:
        """Send SIGTERM and wait for the end; kill what does not end."""
        child = self.deployment.processes.get(name)
        child.terminate()
        patience = STOP_PATIENCE.total_seconds()
        try:
            await asyncio.wait_for(child.process.wait(), patience)
        except TimeoutError:
            await child.kill()

    async def publish_change(self) -> None:
        """Publish the folder with one more change.

        Raises
        ------
        PublishFailedError
            If the operators' command refuses or can't reach the store.
        """
        seconds = FEWEST_SECONDS + next(self.numbers) % CHANGES
        path = self._settings / '90-ledger.ini'
        path.write_text(f'[service ledger]\ndeadline = {seconds} s\n')
        await self.deployment.publish_folder(self._settings)

    async def try_change(self) -> None:
        """Publish a change, or fail to."""
        with suppress(PublishFailedError):
            await self.publish_change()

    def list_targets(self) -> dict[TargetKind, list[str]]:
        """Return the possible targets of faults."""
        roster = self.deployment.roster
        gateways = roster.list_by(Role.gateway)
        backends = [
            member for member in roster.list_all() if member not in gateways
        ]
        return {
            TargetKind.gateway: [member.name for member in gateways],
            TargetKind.backend: [member.name for member in backends],
            TargetKind.region: sorted({one.region for one in gateways}),
            TargetKind.deployment: ['deployment'],
        }
