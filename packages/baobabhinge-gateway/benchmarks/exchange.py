"""Processor time and bytes that one gateway spends on the exchange with others.

Another process sends the heartbeats of all other gateways, at their rate, over
the loopback address. Nothing receives what the gateway sends.

Run after ``source bin/environment`` as
``python packages/baobabhinge-gateway/benchmarks/exchange.py 9 83 195``.
"""

import asyncio
import sys
import time
from datetime import timedelta
from multiprocessing import Process

import structlog
from numpy import array, ndarray
from peers import send_forever
from simulated import SERVERS, SETTINGS

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.peer_exchange import PeerExchange

# How often a gateway reads the load of each server: calls placed a second.
READS_PER_SECOND = 5
MEASURED = timedelta(seconds=8)
WARM_UP = timedelta(seconds=3)
SENT = 'baobabhinge_peer_bytes_sent_total'
ERROR = 40


def main(counts: list[str]) -> None:
    """Print one line for each number of gateways."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(ERROR)
    )
    for gateways in map(int, counts):
        sender = Process(target=send_forever, args=(gateways,))
        sender.start()
        figures = asyncio.run(measure())
        sender.terminate()
        sys.stdout.write(f'{gateways} gateways: {figures}\n')


async def measure() -> str:
    """Return what the exchange costs one gateway."""
    core = GatewayCore(SETTINGS)
    heartbeats = PeerExchange(core).heartbeats
    await heartbeats.start()
    await play(core, WARM_UP)
    before = read_usage(core)
    await play(core, MEASURED)
    share, sent = (read_usage(core) - before).round(4)
    await heartbeats.stop()
    return f'{share} of a core, {sent} bytes/s sent'


def read_usage(core: GatewayCore) -> ndarray:
    """Return the processor time and the bytes sent, by measured second."""
    usage = array((time.process_time(), count_sent(core)))
    return usage / MEASURED.total_seconds()


async def play(core: GatewayCore, span: timedelta) -> None:
    """Read the loads of all servers as often as calls are placed."""
    loop = asyncio.get_running_loop()
    end = loop.time() + span.total_seconds()
    while loop.time() < end:
        for number in range(SERVERS):
            core.state.loads.read(f'server-{number}')
        await asyncio.sleep(1 / READS_PER_SECOND)


def count_sent(core: GatewayCore) -> float:
    """Return the bytes of the datagrams that were sent to other gateways."""
    return sum(
        sample.value
        for family in core.ingress.metrics.registry.collect()
        for sample in family.samples
        if sample.name == SENT
    )


if __name__ == '__main__':
    main(sys.argv[1:])
