"""The demo leaves no process behind when it is stopped."""

import asyncio
import signal
import sys

import psutil
import pytest

PATIENCE = 60


async def start_demo():
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'baobabhinge_standins.demo',
        'kranfelder',
        '--seconds=60',
        stdout=asyncio.subprocess.PIPE,
    )


async def wait_line(demo, text):
    line = b''
    while text not in line:
        line = await asyncio.wait_for(demo.stdout.readline(), PATIENCE)
        assert line


async def wait_children(demo, count):
    children = []
    async with asyncio.timeout(PATIENCE):
        while len(children) < count:
            children = psutil.Process(demo.pid).children(recursive=True)
            await asyncio.sleep(0.05)
    return children


@pytest.mark.parametrize(
    ('number', 'line', 'count'),
    [
        (signal.SIGTERM, b'starting', 3),
        (signal.SIGINT, b'every gateway serves', 20),
    ],
)
async def test_no_process_is_left(number, line, count):
    demo = await start_demo()
    await wait_line(demo, line)
    children = await wait_children(demo, count)
    demo.send_signal(number)
    assert await asyncio.wait_for(demo.wait(), PATIENCE) == 130
    _, alive = psutil.wait_procs(children, timeout=0)
    assert not alive
