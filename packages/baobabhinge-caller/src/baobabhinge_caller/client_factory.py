"""Creation of clients."""

import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from baobabhinge_caller.call_sender import CallSender
from baobabhinge_caller.client import Client
from baobabhinge_caller.entry_cache import EntryCache
from baobabhinge_caller.key_pool import KeyPool
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_platform.sessions import build_session


@asynccontextmanager
async def open_client(
    seeds: Sequence[str],
    caller: str = '',
) -> AsyncIterator[Client]:
    """Yield a client and close its connections at the end.

    Parameters
    ----------
    seeds : sequence of str
        ``host:port`` of some gateways.
    caller : str, optional
        Name of this caller, by which the gateways distribute callers among
        themselves; by default a random one.
    """
    clock = SystemClock()
    async with build_session() as http:
        entries = EntryCache(http, seeds, clock, caller or uuid.uuid4().hex)
        yield Client(CallSender(http, entries), KeyPool(clock))
