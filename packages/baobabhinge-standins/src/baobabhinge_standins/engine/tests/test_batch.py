"""Slots by priority, and what a cancelled request leaves behind."""

import asyncio

import pytest

from baobabhinge_standins.engine.batch import Batch, EngineSpeed


async def occupy(batch, priority, order, release):
    async with batch.hold_slot(priority):
        order.append(priority)
        await release.wait()


async def gather(tasks):
    async with asyncio.timeout(5):
        await asyncio.gather(*tasks, return_exceptions=True)


async def settle(batch, running, waiting):
    async with asyncio.timeout(5):
        while (batch.running, batch.waiting) != (running, waiting):
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('arrivals', 'expected'),
    [
        ([0, 5, 1, 3], [0, 1, 3, 5]),
        ([9, 2, 2, 1], [9, 1, 2, 2]),
    ],
)
async def test_queue_goes_by_priority(arrivals, expected):
    batch = Batch(EngineSpeed(slots=1))
    order, releases = [], asyncio.Event()
    tasks = []
    for priority in arrivals:
        tasks.append(
            asyncio.create_task(occupy(batch, priority, order, releases)),
        )
        await asyncio.sleep(0)
    await settle(batch, 1, len(arrivals) - 1)
    releases.set()
    await gather(tasks)
    assert order == expected
    assert (batch.running, batch.waiting) == (0, 0)


@pytest.mark.parametrize(('cancelled', 'ran'), [(0, 3), (1, 2), (2, 2)])
async def test_cancelled_request_frees_its_place(cancelled, ran):
    batch = Batch(EngineSpeed(slots=1))
    order, release = [], asyncio.Event()
    tasks = [
        asyncio.create_task(occupy(batch, number, order, release))
        for number in range(3)
    ]
    await settle(batch, 1, 2)
    tasks[cancelled].cancel()
    await settle(batch, 1, 1)
    release.set()
    await gather(tasks)
    assert len(order) == ran
    assert (batch.running, batch.waiting) == (0, 0)
