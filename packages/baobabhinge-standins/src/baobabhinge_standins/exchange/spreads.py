"""How changes reach all gateways."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta
from itertools import repeat

import msgspec

from baobabhinge_gateway.forwarding.core import GatewayCore

SAMPLE_INTERVAL = timedelta(milliseconds=10)
LONGEST_SPREAD = timedelta(seconds=12)

IsKnown = Callable[[GatewayCore], bool]


class Spread(msgspec.Struct):
    """How a change has reached the gateways.

    Parameters
    ----------
    change : str
        What has changed.
    half, last : timedelta
        Time from the first gateway that knew it to half of them, and to the
        last one; `LONGEST_SPREAD` at most.
    """

    change: str
    half: timedelta
    last: timedelta


async def measure_spread(
    cores: Sequence[GatewayCore], change: str, is_known: IsKnown
) -> Spread:
    """Wait until all gateways know a change.

    Parameters
    ----------
    cores : sequence of GatewayCore
        The gateways.
    change : str
        What has changed.
    is_known : callable
        Returns whether a gateway knows it.
    """
    times = await _wait_for_all(cores, is_known)
    first = times[0]
    half = times[len(times) // 2]
    return Spread(change, half - first, times[-1] - first)


async def _wait_for_all(
    cores: Sequence[GatewayCore], is_known: IsKnown
) -> Sequence[timedelta]:
    """Return when each gateway knew a change, in ascending order."""
    times: list[timedelta] = []
    lacking = list(cores)
    limit = _read_time() + LONGEST_SPREAD
    while lacking and _read_time() < limit:
        await asyncio.sleep(SAMPLE_INTERVAL.total_seconds())
        lacking = [core for core in lacking if not is_known(core)]
        known = len(cores) - len(lacking)
        times.extend(repeat(_read_time(), known - len(times)))
    return [*times, *repeat(limit, len(lacking))]


def _read_time() -> timedelta:
    return timedelta(seconds=asyncio.get_running_loop().time())
