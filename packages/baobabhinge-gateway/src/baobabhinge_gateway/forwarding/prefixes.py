"""Which engines have read which parts of prompts.

Load pattern: many calls that share long prompts; an engine that has read one
before answers sooner.
"""

from collections import OrderedDict
from collections.abc import Sequence
from datetime import timedelta

import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.call import Demand

# Engines drop the parts that were used least recently; a part that nobody
# asked for in this time is taken as dropped.
KEPT_FOR = timedelta(seconds=60)
# Bounds the memory: 20,000 entries are about 4 MB.
MAX_ENTRIES = 20_000


class PrefixHistory:
    """Parts that engines read lately, from the calls sent to them.

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

    def note(self, server: str, demand: Demand) -> None:
        """Note that ``server`` reads the parts of ``demand``."""
        now = self._clock.read_monotonic()
        for part in demand.parts[:-1]:
            key = (server, part.name)
            self._readings[key] = now
            self._readings.move_to_end(key)
        while len(self._readings) > MAX_ENTRIES:
            self._readings.popitem(last=False)

    def count_cached(self, server: str, demand: Demand) -> int:
        """Return the leading tokens of ``demand`` that ``server`` has read."""
        oldest = self._clock.read_monotonic() - KEPT_FOR
        cached = 0
        for part in demand.parts[:-1]:
            read = self._readings.get((server, part.name))
            if read is None or read < oldest:
                break
            cached += part.tokens
        return cached


def choose_keeper(demand: Demand, servers: Sequence[str]) -> str | None:
    """Return the engine that is to keep the shared parts of ``demand``.

    Parameters
    ----------
    demand : Demand
        Prompt of a call; its last shared part names the subject.
    servers : sequence of str
        Engines of one region.

    Notes
    -----
    Rendezvous hashing: gateways that list the same engines agree on the
    keeper of a subject without a message.
    """
    shared = demand.parts[:-1]
    if not shared or not servers:
        return None
    subject = shared[-1].name
    return max(
        servers,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{subject}/{name}'.encode()),
    )
