"""Faults of the key-value service."""

from collections.abc import AsyncIterator

from baobabhinge_standins.keyvalue.faults import StoreFaults
from baobabhinge_standins.soak.faults.registry import register_fault
from baobabhinge_standins.soak.schedule import TargetKind
from baobabhinge_standins.soak.stage import Stage

SLOW_SECONDS = 3
LOST_ANSWERS = 5


async def _set(stage: Stage, faults: StoreFaults) -> None:
    store = stage.deployment.platform.store
    await store.send('PUT', '-/faults', faults)


@register_fault('store-down', TargetKind.deployment)
async def take_store_down(stage: Stage, target: str) -> AsyncIterator[None]:
    """Let every call fail without effect."""
    await _set(stage, StoreFaults(down=True))
    yield
    await _set(stage, StoreFaults())


@register_fault('store-slow', TargetKind.deployment)
async def slow_store(stage: Stage, target: str) -> AsyncIterator[None]:
    """Let every call wait."""
    await _set(stage, StoreFaults(slow_seconds=SLOW_SECONDS))
    yield
    await _set(stage, StoreFaults())


@register_fault('store-answers-lost', TargetKind.deployment)
async def lose_answers(stage: Stage, target: str) -> AsyncIterator[None]:
    """Let some writes take effect without an answer."""
    await _set(stage, StoreFaults(lose_answers=LOST_ANSWERS))
    yield
    await _set(stage, StoreFaults())
