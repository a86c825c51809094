"""Faults that workloads switch on and off."""

import asyncio

from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.experiment.actions import register_action
from baobabhinge_standins.fleet import Deployment, Member, Role

SLOW_FACTOR = 8


@register_action('slow')
async def slow_down(running: Deployment, region: str) -> None:
    """Make one engine of ``region`` slow."""
    await _set(running, region, EngineFaults(slowdown=SLOW_FACTOR))


@register_action('lying')
async def slow_down_and_lie(running: Deployment, region: str) -> None:
    """Make one engine of ``region`` slow and its reports wrong."""
    faults = EngineFaults(
        slowdown=SLOW_FACTOR,
        reported_running=0,
        reported_waiting=0,
    )
    await _set(running, region, faults)


@register_action('slow-ends')
@register_action('lying-ends')
async def speed_up(running: Deployment, region: str) -> None:
    """Take the faults of the engine away."""
    await _set(running, region, EngineFaults())


@register_action('lost')
async def lose_region(running: Deployment, region: str) -> None:
    """Kill every engine of ``region``."""
    await asyncio.gather(
        *(
            running.processes.get(member.name).kill()
            for member in _list_engines(running, region)
        ),
    )


@register_action('lost-ends')
async def regain_region(running: Deployment, region: str) -> None:
    """Start the engines of ``region`` again, with cold caches."""
    await asyncio.gather(
        *(
            running.processes.restart(member.name)
            for member in _list_engines(running, region)
        ),
    )


def _list_engines(running: Deployment, region: str) -> list[Member]:
    return running.roster.list_by(Role.engine, region)


async def _set(running: Deployment, region: str, faults: EngineFaults) -> None:
    member = _list_engines(running, region)[0]
    await running.backends.set_faults(member, faults)
