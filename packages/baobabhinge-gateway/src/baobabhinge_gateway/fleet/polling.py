"""Polling the load of this gateway's share of the backend servers."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

import aiohttp
import msgspec
import structlog
from mode import Service

from baobabhinge_gateway.fleet.assignment import list_assigned
from baobabhinge_gateway.fleet.load_answers import decode_load
from baobabhinge_gateway.fleet.reports import LoadReport, LoadReports
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_platform.machines import Vm

SHORTEST_INTERVAL = timedelta(seconds=1)
INTERVAL_PER_GATEWAY = timedelta(milliseconds=30)
POLL_TIMEOUT = timedelta(milliseconds=500)
LOAD_PATH = '/load'

log = structlog.get_logger(__name__)


class LoadPoller(Service):
    """Ask each backend server of the share for its load.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    fleet : FleetView
        Known vms.
    reports : LoadReports
        Where the reports go.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        fleet: FleetView,
        reports: LoadReports,
    ) -> None:
        """Ask nothing yet."""
        super().__init__()
        self._http = http
        self._fleet = fleet
        self._reports = reports

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            share = list_assigned(self._fleet)
            listed = {vm.name for vm in self._fleet.list_local_backends()}
            self._reports.drop_unlisted(frozenset(listed))
            await asyncio.gather(*[self._ask(vm) for vm in share])
            await self.sleep(choose_interval(self._count_gateways()))

    def _count_gateways(self) -> int:
        return len(self._fleet.list_gateways(self._fleet.home.region))

    async def _ask(self, vm: Vm) -> None:
        try:
            report = await self._fetch(vm.address)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as bad:
            log.info('load-unread', backend=vm.name, reason=type(bad).__name__)
            return
        if report is not None:
            self._reports.put(vm.name, report)

    async def _fetch(self, address: str) -> LoadReport | None:
        limit = aiohttp.ClientTimeout(total=POLL_TIMEOUT.total_seconds())
        async with self._http.get(
            f'http://{address}{LOAD_PATH}',
            timeout=limit,
        ) as answer:
            if answer.status != HTTPStatus.OK:
                return None
            return decode_load(await answer.read())


def choose_interval(gateways: int) -> timedelta:
    """Return the time between two polls of a backend server.

    Parameters
    ----------
    gateways : int
        Gateways of the region. Reports that come faster than heartbeats can
        spread them would keep each other from getting far.
    """
    return max(SHORTEST_INTERVAL, INTERVAL_PER_GATEWAY * gateways)
