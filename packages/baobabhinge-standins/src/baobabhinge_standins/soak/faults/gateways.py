"""Faults of gateways and of their operators."""

import asyncio
from collections.abc import AsyncIterator

from baobabhinge_standins.soak.faults.registry import register_fault
from baobabhinge_standins.soak.schedule import TargetKind
from baobabhinge_standins.soak.stage import Stage


@register_fault('kill-gateway', TargetKind.gateway)
async def kill_gateway(stage: Stage, target: str) -> AsyncIterator[None]:
    """Kill a gateway; a new one starts at the end."""
    await stage.deployment.processes.get(target).kill()
    yield
    await stage.revive(target)


@register_fault('freeze-gateway', TargetKind.gateway)
async def freeze_gateway(stage: Stage, target: str) -> AsyncIterator[None]:
    """Freeze a gateway and thaw it."""
    child = stage.deployment.processes.get(target)
    child.freeze()
    yield
    child.thaw()


@register_fault('rolling-restart', TargetKind.deployment)
async def restart_rolling(stage: Stage, target: str) -> AsyncIterator[None]:
    """Stop and start each gateway in turn."""
    restarting = asyncio.create_task(_restart_all(stage))
    yield
    await restarting


@register_fault('publish', TargetKind.deployment)
async def publish(stage: Stage, target: str) -> AsyncIterator[None]:
    """Publish a change at the beginning and one at the end."""
    await stage.try_change()
    yield
    await stage.try_change()


async def _restart_all(stage: Stage) -> None:
    for name in stage.list_targets()[TargetKind.gateway]:
        await stage.stop_gracefully(name)
        await stage.revive(name)
