"""Faults of backend servers."""

from collections.abc import AsyncIterator
from contextlib import suppress

import aiohttp
import msgspec

from baobabhinge_standins.application.messages import ApplicationFaults
from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.soak.faults.registry import register_fault
from baobabhinge_standins.soak.schedule import TargetKind
from baobabhinge_standins.soak.stage import Stage

FAULTS_BY_ROLE: dict[Role, msgspec.Struct] = {
    Role.engine: EngineFaults(reset_after_tokens=2, slowdown=5),
    Role.application: ApplicationFaults(slow_seconds=1, cut_after_effect=3),
}
WRONG_BY_ROLE: dict[Role, msgspec.Struct] = {
    Role.engine: EngineFaults(wrong_request_id=True),
    Role.application: ApplicationFaults(wrong_request_id=True),
}
HEALTHY_BY_ROLE: dict[Role, msgspec.Struct] = {
    Role.engine: EngineFaults(),
    Role.application: ApplicationFaults(),
}


async def _set(
    stage: Stage,
    target: str,
    faults: dict[Role, msgspec.Struct],
) -> None:
    member = stage.deployment.roster.get(target)
    # Another fault may have ended the process.
    with suppress(aiohttp.ClientError):
        await stage.deployment.backends.set_faults(member, faults[member.role])


@register_fault('kill-backend', TargetKind.backend)
async def kill_backend(stage: Stage, target: str) -> AsyncIterator[None]:
    """Kill a backend server; a new one starts at the end."""
    await stage.deployment.processes.get(target).kill()
    yield
    await stage.revive(target)


@register_fault('faulty-backend', TargetKind.backend)
async def break_backend(stage: Stage, target: str) -> AsyncIterator[None]:
    """Let a backend server be slow and cut answers after their effect."""
    await _set(stage, target, FAULTS_BY_ROLE)
    yield
    await _set(stage, target, HEALTHY_BY_ROLE)


@register_fault('confused-backend', TargetKind.backend)
async def confuse_backend(stage: Stage, target: str) -> AsyncIterator[None]:
    """Let a backend server name other requests in its answers."""
    await _set(stage, target, WRONG_BY_ROLE)
    yield
    await _set(stage, target, HEALTHY_BY_ROLE)
