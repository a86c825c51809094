import asyncio
from pathlib import Path

import aiohttp
import pytest

from baobabhinge_standins.fleet.awaiting import GatewayWait, NotReadyError
from baobabhinge_standins.fleet.members import Role, Roster
from baobabhinge_standins.fleet.processes import own_processes


async def wait_for_one_that_ends(folder: Path):
    roster = Roster()
    member = roster.add_gateway('west')
    async with aiohttp.ClientSession() as http, own_processes(folder) as group:
        await group.start(
            member.name,
            'baobabhinge_gateway',
            f'--settings={folder}/absent.ini',
        )
        await GatewayWait(http, group).wait_all(roster.list_by(Role.gateway))


def test_a_gateway_that_ends_is_named_with_its_last_words(tmp_path):
    with pytest.raises(NotReadyError, match=r'west-gateway-1 has ended: .*ini'):
        asyncio.run(wait_for_one_that_ends(tmp_path))
