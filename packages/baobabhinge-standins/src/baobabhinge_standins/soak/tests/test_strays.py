"""Bound text is found in the memory, the log or the journal of a process."""

import asyncio
import sys
from types import SimpleNamespace

import pytest

from baobabhinge_standins.soak.script import mark_bound
from baobabhinge_standins.soak.strays import find_strays

HOLD = (
    'import sys; held = sys.argv[1] + "-only"; print("up", flush=True); input()'
)
CHURN = """
import mmap, sys
held = sys.argv[1] + "-only"
print("up", flush=True)
while True:
    areas = [mmap.mmap(-1, 1 << 22) for _ in range(8)]
    for area in areas:
        area[0] = 1
    for area in areas:
        area.close()
"""


async def hold(text, program=HOLD):
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        program,
        text,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    await child.stdout.readline()
    return child


def build_deployment(child):
    members = [
        SimpleNamespace(name='east-gateway-1', region='east'),
        SimpleNamespace(name='west-gateway-1', region='west'),
    ]
    roster = SimpleNamespace(list_all=lambda: members)
    owned = SimpleNamespace(process=child)
    processes = SimpleNamespace(get=lambda name: owned)
    return SimpleNamespace(roster=roster, processes=processes)


@pytest.mark.parametrize(
    ('held', 'written', 'found'),
    [
        ('kept-in-north', '', set()),
        ('kept-in-west', '', {'east-gateway-1', 'keyvalue', 'lists'}),
        ('nothing', 'east-gateway-1.log', {'east-gateway-1'}),
        ('nothing', 'east-gateway-1.journal', {'east-gateway-1'}),
        ('nothing', 'west-gateway-1.log', set()),
    ],
)
async def test_strays(tmp_path, held, written, found):
    if written:
        (tmp_path / written).write_text(mark_bound('west'))
    child = await hold(held)
    strays = list(find_strays(build_deployment(child), tmp_path))
    child.stdin.close()
    await child.wait()
    assert {stray.split()[0] for stray in strays} == found


async def test_memory_that_is_given_back_meanwhile(tmp_path):
    child = await hold('kept-in-west', CHURN)
    try:
        found = [
            list(find_strays(build_deployment(child), tmp_path))
            for _ in range(3)
        ]
    finally:
        child.kill()
        await child.wait()
    assert [len(strays) for strays in found] == [3, 3, 3]
