"""Probes whether the process of an engine has ended."""

import asyncio
import enum
from datetime import timedelta

from baobabhinge_coordination.clock import Clock

PROBE_REQUEST = b'GET /load HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n\r\n'
PROBE_TIMEOUT = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(milliseconds=100)


class ProbeResult(enum.Enum):
    """Result of one probe of an engine.

    An engine is ``dead`` if it refuses or closes the connection without an
    answer, and ``silent`` if it gives no answer within `PROBE_TIMEOUT`
    or can't be reached.
    """

    answering = 'answering'
    silent = 'silent'
    dead = 'dead'


# Longest time from a broken answer to the end of the engine, by the result
# of the last probe.
MAX_ENDING_TIME = {
    ProbeResult.answering: timedelta(milliseconds=500),
    ProbeResult.silent: timedelta(seconds=3),
    ProbeResult.dead: timedelta(),
}


async def wait_for_end(address: str, clock: Clock) -> bool:
    """Probe an engine that broke an answer, and return whether it ends.

    Parameters
    ----------
    address : str
        ``host:port`` of the engine.
    clock : Clock
        Clock of the bounds in `MAX_ENDING_TIME`.
    """
    start = clock.read_monotonic()
    latest = await probe_engine(address)
    while clock.read_monotonic() - start < MAX_ENDING_TIME[latest]:
        await asyncio.sleep(PROBE_INTERVAL.total_seconds())
        latest = await probe_engine(address)
    return latest is ProbeResult.dead


async def probe_engine(address: str) -> ProbeResult:
    """Request the load of the engine and return the result.

    A dead engine refuses connections; where a proxy accepts them in its
    place, they end without an answer.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
            answer = await _read_first_byte(address)
    except ConnectionError:
        return ProbeResult.dead
    except (OSError, TimeoutError):
        return ProbeResult.silent
    return ProbeResult.answering if answer else ProbeResult.dead


async def _read_first_byte(address: str) -> bytes:
    """Return the first byte of the answer to a request for the load."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(PROBE_REQUEST % address.encode())
    try:
        return await reader.read(1)
    finally:
        writer.close()
