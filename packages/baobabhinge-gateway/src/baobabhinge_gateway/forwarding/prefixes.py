"""Which engines have read which parts of prompts.

Load pattern: many calls that share long prompts; an engine that has read one
before, or can copy it from one that has, answers sooner.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from datetime import timedelta

import msgspec
import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer, Route
from baobabhinge_gateway.forwarding.call import Demand

# Engines drop the parts that were used least recently; a part that nobody
# asked for in this time is taken as dropped.
KEPT_FOR = timedelta(seconds=60)
# Bounds the memory: 20,000 entries are about 4 MB.
MAX_ENTRIES = 20_000
# Other regions are told of prompts that take longer to read than to cross for:
# 1,000 tokens are 18 ms of an engine, and a reading is about 40 bytes.
WORTH_TELLING = 1000
# Readings in one heartbeat; with the loads it stays below one packet.
MOST_TOLD = 16


class CachedPrefix(msgspec.Struct, array_like=True, frozen=True):
    """Shared parts of a prompt that one engine reads.

    Parameters
    ----------
    server : str
        The engine.
    parts : tuple of str
        Names of the parts in order.
    """

    server: str
    parts: tuple[str, ...]


class PrefixHistory:
    """Parts that engines read lately, as far as any gateway told.

    Parameters
    ----------
    clock : Clock
        Dates the readings.
    """

    __slots__ = ('_clock', '_readings')

    def __init__(self, clock: Clock) -> None:
        """Know no reading."""
        self._clock = clock
        self._readings: OrderedDict[tuple[str, str], timedelta] = OrderedDict()

    def record(self, reading: CachedPrefix) -> None:
        """Take one reading."""
        now = self._clock.read_monotonic()
        for part in reading.parts:
            key = (reading.server, part)
            self._readings[key] = now
            self._readings.move_to_end(key)
        while len(self._readings) > MAX_ENTRIES:
            self._readings.popitem(last=False)

    def count_cached(
        self,
        server: str,
        demand: Demand,
        within: timedelta = KEPT_FOR,
    ) -> int:
        """Return the leading tokens of ``demand`` that ``server`` has read.

        Parameters
        ----------
        server : str
            Name of the engine.
        demand : Demand
            Prompt of a call.
        within : timedelta, optional
            Time in which each part was used last.
        """
        oldest = self._clock.read_monotonic() - within
        cached = 0
        for part in demand.shared:
            read = self._readings.get((server, part.name))
            if read is None or read < oldest:
                break
            cached += part.tokens
        return cached


class PrefixAnnouncements:
    """Own readings of which the gateways of each region are still to hear.

    Parameters
    ----------
    home : str
        Region of this gateway.
    regions : sequence of str
        All regions.

    Notes
    -----
    Names of parts stay within the regions that may serve their calls.
    """

    __slots__ = ('_home', '_untold')

    def __init__(self, home: str, regions: Sequence[str]) -> None:
        """Have read nothing."""
        self._home = home
        self._untold: dict[str, deque[CachedPrefix]] = {
            region: deque(maxlen=MOST_TOLD) for region in regions
        }

    def add(self, reading: CachedPrefix, route: Route, shared: int) -> None:
        """Take one reading of ``shared`` tokens for a call of ``route``."""
        for region, untold in self._untold.items():
            is_worth_it = region == self._home or shared >= WORTH_TELLING
            if is_worth_it and route.allows(region):
                untold.append(reading)

    def drain(self, region: str) -> Sequence[CachedPrefix]:
        """Return what ``region`` has not been told, once."""
        untold = self._untold.get(region, deque())
        readings = tuple(untold)
        untold.clear()
        return readings


def choose_prefix_engine(
    demand: Demand,
    servers: Sequence[BackendServer],
) -> BackendServer | None:
    """Return the engine that is to read the shared parts of ``demand`` first.

    Parameters
    ----------
    demand : Demand
        Prompt of a call; its last shared part names the subject.
    servers : sequence of BackendServer
        Engines of one region.

    Notes
    -----
    Rendezvous hashing: gateways that list the same engines agree on the
    keeper of a subject without a message.
    """
    if not demand.shared or not servers:
        return None
    subject = demand.shared[-1].name
    return max(
        servers,
        key=lambda server: xxhash.xxh3_64_intdigest(
            f'{subject}/{server.name}'.encode(),
        ),
    )
