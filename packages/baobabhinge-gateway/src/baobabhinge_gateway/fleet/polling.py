"""Polling of the load of the backend servers assigned to this gateway."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

import aiohttp
import msgspec
import structlog

from baobabhinge_gateway.fleet.assignment import list_assigned
from baobabhinge_gateway.fleet.load_answers import decode_load
from baobabhinge_gateway.fleet.reports import LoadReport, LoadReports
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_gateway.supervision import SupervisedService, supervised_task
from baobabhinge_platform.machines import Vm

SHORTEST_INTERVAL = timedelta(seconds=1)
INTERVAL_PER_GATEWAY = timedelta(milliseconds=30)
POLL_TIMEOUT = timedelta(milliseconds=500)
LOAD_PATH = '/load'

log = structlog.get_logger(__name__)


class LoadPoller(SupervisedService):
    """Poll the load of each assigned backend server.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Client session; its owner closes it.
    fleet : FleetView
        Vms known to this gateway.
    reports : LoadReports
        Reports to which the polled ones are added.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        fleet: FleetView,
        reports: LoadReports,
    ) -> None:
        """Create the poller without polling yet."""
        super().__init__()
        self._http = http
        self._fleet = fleet
        self._reports = reports

    @supervised_task
    async def _poll(self) -> None:
        while not self.should_stop:
            assigned = list_assigned(self._fleet)
            listed = {vm.name for vm in self._fleet.list_local_backends()}
            self._reports.drop_unlisted(frozenset(listed))
            await asyncio.gather(*[self._poll_backend(vm) for vm in assigned])
            await self.sleep(choose_interval(self._count_gateways()))

    def _count_gateways(self) -> int:
        return len(self._fleet.list_gateways(self._fleet.own.region))

    async def _poll_backend(self, vm: Vm) -> None:
        try:
            report = await self._fetch(vm.address)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as failure:
            log.info(
                'load-poll-failed',
                backend=vm.name,
                reason=type(failure).__name__,
            )
            return
        if report is not None:
            self._reports.put(vm.name, report)

    async def _fetch(self, address: str) -> LoadReport | None:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT.total_seconds())
        async with self._http.get(
            f'http://{address}{LOAD_PATH}',
            timeout=timeout,
        ) as answer:
            if answer.status != HTTPStatus.OK:
                return None
            return decode_load(await answer.read())


def choose_interval(gateway_count: int) -> timedelta:
    """Return the time between two polls of a backend server.

    Parameters
    ----------
    gateway_count : int
        Number of gateways in the region. The interval grows with it, as
        reports polled faster than heartbeats can carry them would displace one
        another.
    """
    return max(SHORTEST_INTERVAL, INTERVAL_PER_GATEWAY * gateway_count)
