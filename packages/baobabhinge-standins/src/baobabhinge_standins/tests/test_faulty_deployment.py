"""Faults of a whole deployment, as other scenarios bring them about."""

import asyncio
from pathlib import Path

import aiohttp
import msgspec
import pytest

from baobabhinge_standins.fleet import Role, name_link
from baobabhinge_standins.links import CUT, REFUSED
from baobabhinge_standins.tests.conftest import SMALL_PLAN

FAULTY_PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 2, 'east': 1},
    faulty_backends=True,
    faulty_peers=True,
)


async def ask(running, gateway, path):
    address = running.roster.get(gateway).caller_address
    limit = aiohttp.ClientTimeout(total=3)
    async with aiohttp.ClientSession(timeout=limit) as http:
        try:
            async with http.get(f'http://{address}{path}') as answer:
                return answer.status
        except TimeoutError:
            return 0


async def write_list(running, gateway):
    return await running.platform.lists.send('GET', f'vms/{gateway}', None)


def test_members_fail_one_by_one(launch, loop):
    running = launch(FAULTY_PLAN)
    loop.run(check_lists(running))
    loop.run(check_links(running))
    loop.run(check_processes(running))
    loop.run(check_vm_list(running))


async def check_lists(running):
    west = await write_list(running, 'west-gateway-1')
    east = await write_list(running, 'east-gateway-1')
    for member in running.roster.list_all():
        own = member.address.encode()
        assert (own in west) == (member.name == 'west-gateway-1')
        assert (own in east) == (member.name == 'east-gateway-1')


async def check_links(running):
    path = '/services/ledger/owners/9'
    assert await ask(running, 'west-gateway-1', path) == 200
    names = running.links.book.find_touching('west-ledger-1')
    assert name_link('west-gateway-1', 'west-ledger-1') in names
    await running.links.set_fault(REFUSED, *names)
    await running.links.reset(*names)
    assert await ask(running, 'west-gateway-1', path) == 200
    await running.links.set_fault(CUT, *names)
    await running.links.heal()
    ledgers = running.roster.list_by(Role.application)
    runs = [await running.backends.read_runs(ledger) for ledger in ledgers]
    assert [len(journal) for journal in runs] == [1, 1]
    traffic = await running.links.read_traffic()
    assert any(
        link.source != link.destination and link.forward_bytes
        for link in traffic
    )


async def check_processes(running):
    child = running.processes.get('west-gateway-2')
    child.freeze()
    assert not await ask(running, 'west-gateway-2', '/healthz')
    child.thaw()
    assert await ask(running, 'west-gateway-2', '/healthz') == 200
    await child.kill()
    with pytest.raises(aiohttp.ClientConnectorError):
        await ask(running, 'west-gateway-2', '/healthz')
    await running.processes.restart('west-gateway-2')
    await running.wait_ready()
    running.processes.get('west-gateway-2').terminate()
    ended = running.processes.get('west-gateway-2').process.wait()
    assert await asyncio.wait_for(ended, 20) == 0


async def check_vm_list(running):
    await running.vm_lists.set_state('west-gateway-2', 'leaving')
    assert b'leaving' in await write_list(running, 'east-gateway-1')
    await running.vm_lists.remove('west-gateway-2')
    assert b'west-gateway-2' not in await write_list(running, 'east-gateway-1')


def test_stop_leaves_no_process(launch, loop):
    running = launch()
    names = [member.name for member in running.roster.list_all()]
    running.processes.get(names[0]).freeze()
    loop.run(running.processes.stop_all())
    for name in names:
        pid = running.processes.get(name).process.pid
        assert not Path(f'/proc/{pid}').exists()
