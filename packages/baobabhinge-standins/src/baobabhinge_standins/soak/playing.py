"""Bringing the faults of a schedule about."""

import asyncio
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from datetime import timedelta
from random import Random

from baobabhinge_standins.output import show_line
from baobabhinge_standins.soak.faults import FAULTS, list_kinds
from baobabhinge_standins.soak.schedule import (
    PlannedFault,
    Round,
    draw_schedule,
)
from baobabhinge_standins.soak.stage import Stage


def plan_rounds(stage: Stage, random: Random, span: timedelta) -> list[Round]:
    """Return the rounds of a soak on ``stage`` that fill ``span``."""
    return draw_schedule(random, list_kinds(), stage.list_targets(), span)


def show_schedule(seed: int, rounds: Sequence[Round]) -> None:
    """Show what will happen."""
    show_line(f'seed {seed}')
    for number, drawn in enumerate(rounds, 1):
        line = drawn.describe()
        show_line(f'round {number}: {line}')


async def play_rounds(stage: Stage, rounds: Sequence[Round]) -> None:
    """Bring the faults of each round about, one round after another."""
    for number, drawn in enumerate(rounds, 1):
        show_line(f'round {number} begins')
        async with AsyncExitStack() as faults:
            for planned in drawn.faults:
                context = _bring_about(stage, planned)
                await faults.enter_async_context(context)
            await asyncio.sleep(drawn.lasts.total_seconds())
        await asyncio.sleep(drawn.pause.total_seconds())


def _bring_about(
    stage: Stage,
    planned: PlannedFault,
) -> AbstractAsyncContextManager[None]:
    return FAULTS[planned.name].bring_about(stage, planned.target)
