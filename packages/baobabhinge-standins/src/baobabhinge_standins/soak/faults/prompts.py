"""A request that ends each engine that runs it."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

import aiohttp
import msgspec

from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.soak.faults.registry import register_fault
from baobabhinge_standins.soak.schedule import TargetKind
from baobabhinge_standins.soak.stage import Stage

REPEATS = 3
LIMIT = aiohttp.ClientTimeout(total=10)
PAUSE = timedelta(milliseconds=500)


@register_fault('crashing-request', TargetKind.region)
async def send_crashing(stage: Stage, target: str) -> AsyncIterator[None]:
    """Send a marked prompt and resend it; engines start again at the end."""
    sending = asyncio.create_task(_send_again(stage, target))
    yield
    await sending
    for member in stage.deployment.roster.list_by(Role.engine):
        await stage.revive(member.name)


async def _send_again(stage: Stage, region: str) -> None:
    marked = next(stage.numbers)
    body = msgspec.json.encode(
        {'model': 'llm', 'prompt': f'{CRASH_MARK} {marked}'},
    )
    async with aiohttp.ClientSession(timeout=LIMIT) as http:
        for number in range(REPEATS):
            entry = stage.deployment.choose_entry(region, number)
            await _send(http, f'http://{entry}/v1/completions', body)
            await asyncio.sleep(PAUSE.total_seconds())


async def _send(http: aiohttp.ClientSession, url: str, body: bytes) -> None:
    try:
        async with http.post(url, data=body) as answer:
            await answer.read()
    except (aiohttp.ClientError, TimeoutError):
        return
