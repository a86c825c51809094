"""Load of a soak: callers of every region."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from random import Random

import aiohttp

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.fleet import Deployment, Role
from baobabhinge_standins.soak.attempts import CallRecord
from baobabhinge_standins.soak.callers import Callers
from baobabhinge_standins.traffic import HttpSender
from baobabhinge_standins.traffic.keys import KeyRing

CALLERS_OF_A_REGION = 5
KEYS_AT_ONCE = 5
LIMIT = aiohttp.ClientTimeout(total=15, sock_connect=2)


@asynccontextmanager
async def run_load(
    deployment: Deployment,
    random: Random,
    records: list[CallRecord],
) -> AsyncIterator[None]:
    """Call on while the context is open; at the end all calls finish.

    Parameters
    ----------
    deployment : Deployment
        Where the calls go.
    random : Random
        Generator with the seed of the soak.
    records : list of CallRecord
        Where the calls are kept.
    """
    end = asyncio.Event()
    async with aiohttp.ClientSession(timeout=LIMIT) as http:
        callers = _build_callers(deployment, random, http)
        async with asyncio.TaskGroup() as tasks:
            _start(tasks, callers, records, end)
            try:
                yield
            finally:
                end.set()


def _start(
    tasks: asyncio.TaskGroup,
    callers: list[Callers],
    records: list[CallRecord],
    end: asyncio.Event,
) -> None:
    numbers = count()
    for one in callers * CALLERS_OF_A_REGION:
        tasks.create_task(one.call_on(numbers, records, end))


def _build_callers(
    deployment: Deployment,
    random: Random,
    http: aiohttp.ClientSession,
) -> list[Callers]:
    gateways = deployment.roster.list_by(Role.gateway)
    sender = HttpSender(http, SystemClock())
    keys = KeyRing(http, KEYS_AT_ONCE)
    return [
        Callers(
            region,
            [one.caller_address for one in gateways if one.region == region],
            sender,
            keys,
            Random(random.random()),
        )
        for region in sorted({one.region for one in gateways})
    ]
