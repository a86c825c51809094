"""Looking whether the process of an engine has ended."""

import asyncio
import enum
from datetime import timedelta

from baobabhinge_coordination.clock import Clock

PROBE = b'GET /load HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n\r\n'
PROBE_TIMEOUT = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(milliseconds=100)


class EngineState(enum.Enum):
    """What a probe has found."""

    answering = 'answering'
    silent = 'silent'
    dead = 'dead'


# How long an engine that broke its answers may take to end.
ENDING_TIME = {
    EngineState.answering: timedelta(milliseconds=500),
    EngineState.silent: timedelta(seconds=3),
    EngineState.dead: timedelta(),
}


async def watch_end(address: str, clock: Clock) -> bool:
    """Tell whether an engine that broke an answer ends.

    Parameters
    ----------
    address : str
        ``host:port`` of the engine.
    clock : Clock
        Clock of the time that the end may take.
    """
    began = clock.read_monotonic()
    state = await probe(address)
    while clock.read_monotonic() - began < ENDING_TIME[state]:
        await asyncio.sleep(PROBE_INTERVAL.total_seconds())
        state = await probe(address)
    return state is EngineState.dead


async def probe(address: str) -> EngineState:
    """Return what a request for the load finds.

    Connections are refused by a dead engine, or end without an answer where
    something in between accepts them.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
            answer = await _ask(address)
    except ConnectionError:
        return EngineState.dead
    except (OSError, TimeoutError):
        return EngineState.silent
    return EngineState.answering if answer else EngineState.dead


async def _ask(address: str) -> bytes:
    """Return the first byte of the answer to a request for the load."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(PROBE % address.encode())
    try:
        return await reader.read(1)
    finally:
        writer.close()
