"""Looking whether the process of an engine has ended."""

import asyncio
import enum
from datetime import timedelta

from baobabhinge_coordination.clock import Clock

PROBE_REQUEST = b'GET /load HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n\r\n'
PROBE_TIMEOUT = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(milliseconds=100)


class ProbeResult(enum.Enum):
    """What a probe has found."""

    answering = 'answering'
    silent = 'silent'
    dead = 'dead'


# How long an engine that broke its answers may take to end.
MAX_ENDING_TIME = {
    ProbeResult.answering: timedelta(milliseconds=500),
    ProbeResult.silent: timedelta(seconds=3),
    ProbeResult.dead: timedelta(),
}


async def wait_for_end(address: str, clock: Clock) -> bool:
    """Tell whether an engine that broke an answer ends.

    Parameters
    ----------
    address : str
        ``host:port`` of the engine.
    clock : Clock
        Clock of the time that the end may take.
    """
    began = clock.read_monotonic()
    state = await probe_engine(address)
    while clock.read_monotonic() - began < MAX_ENDING_TIME[state]:
        await asyncio.sleep(PROBE_INTERVAL.total_seconds())
        state = await probe_engine(address)
    return state is ProbeResult.dead


async def probe_engine(address: str) -> ProbeResult:
    """Return what a request for the load finds.

    Connections are refused by a dead engine, or end without an answer where
    something in between accepts them.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
            answer = await _ask(address)
    except ConnectionError:
        return ProbeResult.dead
    except (OSError, TimeoutError):
        return ProbeResult.silent
    return ProbeResult.answering if answer else ProbeResult.dead


async def _ask(address: str) -> bytes:
    """Return the first byte of the answer to a request for the load."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(PROBE_REQUEST % address.encode())
    try:
        return await reader.read(1)
    finally:
        writer.close()
