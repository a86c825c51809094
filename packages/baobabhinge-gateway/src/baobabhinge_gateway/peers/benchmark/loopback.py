"""Heartbeats over HTTP on the loopback address, in one process."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

from aiohttp import web

from baobabhinge_gateway.listener import Listener
from baobabhinge_gateway.peers.benchmark import figures
from baobabhinge_gateway.peers.benchmark.fleet import (
    POLL_INTERVAL,
    BenchmarkGateway,
    build_gateways,
)
from baobabhinge_gateway.peers.benchmark.traffic_meter import TrafficMeter
from baobabhinge_gateway.peers.periodic_heartbeats import (
    PeriodicHeartbeatService,
)
from baobabhinge_gateway.platform import build_http_session

SETTLING_ROUNDS = 20
SETTLING_ROUNDS_PER_GATEWAY = 2


async def measure_loopback(
    gateways: int, seconds: int, seed: int
) -> figures.Figures:
    """Return the cost per gateway with ``gateways`` in one region."""
    meter = TrafficMeter()
    async with AsyncExitStack() as stack:
        http = await stack.enter_async_context(build_http_session())
        fleet = build_gateways(http, gateways, seed)
        for gateway in fleet:
            await stack.enter_async_context(_serve(gateway, meter))
        await _measure(fleet, meter, seconds)
    return figures.compute_figures(
        meter.cost,
        gateways,
        known=min(map(_count_known, fleet)),
        elapsed=POLL_INTERVAL * seconds,
    )


async def _measure(
    fleet: list[BenchmarkGateway],
    meter: TrafficMeter,
    seconds: int,
) -> None:
    settling = SETTLING_ROUNDS_PER_GATEWAY * len(fleet)
    await _run(fleet, SETTLING_ROUNDS + settling)
    meter.reset()
    started = time.process_time()
    await _run(fleet, seconds)
    meter.cost.processor = time.process_time() - started


@asynccontextmanager
async def _serve(
    gateway: BenchmarkGateway, meter: TrafficMeter
) -> AsyncIterator[None]:
    app = web.Application()
    app.on_response_prepare.append(meter.count)
    for routes in gateway.node.routes:
        routes.add_to(app)
    identity = gateway.fleet.identity
    listener = Listener(app, identity.peer_address)
    heartbeats = PeriodicHeartbeatService(gateway.node, Random(identity.name))
    await listener.start()
    await heartbeats.start()
    try:
        yield
    finally:
        await heartbeats.stop()
        await listener.stop()


async def _run(fleet: list[BenchmarkGateway], rounds: int) -> None:
    random = Random(rounds)
    for _ in range(rounds):
        for gateway in fleet:
            gateway.simulate_poll(random)
        await asyncio.sleep(POLL_INTERVAL.total_seconds())


def _count_known(gateway: BenchmarkGateway) -> int:
    region = gateway.fleet.identity.region
    return len(gateway.fleet.members.table.list_members(region))
