"""Journals and faults of the backend servers of a deployment."""

from collections.abc import Iterable
from functools import partial

import aiohttp
import msgspec

from baobabhinge_standins.application.messages import Run
from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.engine.models import LoadedModel
from baobabhinge_standins.fleet.members import Member
from baobabhinge_standins.fleet.readiness import wait_until


class _Models(msgspec.Struct):
    models: list[LoadedModel] = []


class Backends:
    """Control of backend servers past every link.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    """

    __slots__ = ('_http',)

    def __init__(self, http: aiohttp.ClientSession) -> None:
        """Keep the session."""
        self._http = http

    async def read_engine_runs(self, member: Member) -> list[EngineRun]:
        """Return what an engine has run since its start."""
        body = await self._control(member).send('GET', '-/runs', None)
        return msgspec.json.decode(body, type=list[EngineRun])

    async def wait_loaded(self, engines: Iterable[Member]) -> None:
        """Wait until each engine has loaded a model of the settings."""
        for engine in engines:
            await wait_until(partial(self._has_models, engine))

    async def read_runs(self, member: Member) -> list[Run]:
        """Return what an application worker has run since its start."""
        body = await self._control(member).send('GET', '-/runs', None)
        return msgspec.json.decode(body, type=list[Run])

    async def set_faults(self, member: Member, faults: msgspec.Struct) -> None:
        """Set the faults of a backend server, in place of the present ones."""
        await self._control(member).send('PUT', '-/faults', faults)

    async def _has_models(self, member: Member) -> bool:
        body = await self._control(member).send('GET', 'v1/models', None)
        return bool(msgspec.json.decode(body, type=_Models).models)

    def _control(self, member: Member) -> ControlClient:
        return ControlClient(self._http, f'http://{member.address}')
