"""Operators who publish, and what the gateways then say."""

import asyncio
import os
import sys
import time

import aiohttp
import msgspec

from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.readiness import wait_until


class LateError(AssertionError):
    """Gateways did not get a generation."""


class Ended(msgspec.Struct, frozen=True):
    """How a command ended."""

    exit_code: int
    text: str


class Operators:
    """Run the operators' command against one deployment."""

    def __init__(self, running, folder):
        self._running = running
        self._folder = folder
        self._folders = 0

    async def run(self, *words, author='lead'):
        """Run one command of ``author`` on the key-value service."""
        store = self._running.platform.store_address
        return await self._run(*words, f'--key-value={store}', author=author)

    async def ask(self, query, *gateways):
        """Run one query of some gateways."""
        roster = self._running.roster
        addresses = [roster.get(name).caller_address for name in gateways]
        option = ','.join(addresses)
        return await self._run(query, f'--gateway={option}', author='lead')

    async def publish(self, files, *options, author='lead'):
        """Publish a folder with these texts by name."""
        self._folders += 1
        folder = self._folder / f'folder-{self._folders}'
        folder.mkdir()
        for name, text in files.items():
            (folder / name).write_text(text)
        return await self.run('publish', str(folder), *options, author=author)

    async def read_release(self):
        """Return what the key-value service holds."""
        ended = await self.run('show', '--json')
        return msgspec.json.decode(ended.text)

    async def read_texts(self):
        """Return the texts that the key-value service holds, by name."""
        release = await self.read_release()
        return {listed['name']: listed['text'] for listed in release['files']}

    async def _run(self, *words, author):
        settings = self._folder / f'{author}.ini'
        platform = self._running.platform
        vms = platform.get_list_address('west-gateway-1')
        settings.write_text(
            f'[operator]\nauthor = {author}\nvm-list = {vms}\n',
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'baobabhinge_operator',
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=os.environ | {'BAOBABHINGE_SETTINGS': str(settings)},
        )
        text, _ = await process.communicate()
        return Ended(process.returncode, text.decode())


class Generations:
    """What the gateways say is in force; each life of one never goes down."""

    def __init__(self, running, http):
        self._running = running
        self._http = http
        self._highest = {}

    async def read(self, name):
        """Return the status of one gateway, ``None`` if it does not answer."""
        address = self._running.roster.get(name).caller_address
        limit = aiohttp.ClientTimeout(total=2)
        try:
            async with self._http.get(
                f'http://{address}/v1/status', timeout=limit
            ) as answer:
                status = msgspec.json.decode(await answer.read())
        except (aiohttp.ClientError, TimeoutError):
            return None
        life = (name, self._running.processes.get(name).process.pid)
        assert status['generation'] >= self._highest.get(life, 0)
        self._highest[life] = status['generation']
        return status

    def list_names(self):
        return [
            member.name for member in self._running.roster.list_by(Role.gateway)
        ]

    async def are_at(self, generation, names=()):
        """Tell whether gateways, or all, have ``generation`` or a newer one."""
        statuses = await asyncio.gather(
            *map(self.read, names or self.list_names())
        )
        return all(
            status and status['generation'] >= generation for status in statuses
        )

    async def wait_for(self, generation, names=()):
        """Wait for ``generation`` everywhere; return the seconds it took."""
        begun = time.monotonic()

        async def check():
            return await self.are_at(generation, names)

        try:
            await wait_until(check)
        except TimeoutError as late:
            raise LateError(await self.describe()) from late
        return time.monotonic() - begun

    async def describe(self):
        """Return what each gateway says, for the report of a failure."""
        statuses = await asyncio.gather(*map(self.read, self.list_names()))
        return [
            status
            and (
                status['vm'],
                status['generation'],
                status['refused_generation'],
                status['refused_faults'],
                status['watches_manifest'],
            )
            for status in statuses
        ]
