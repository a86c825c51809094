"""Opening clients."""

import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from baobabhinge_caller.client import Client
from baobabhinge_caller.entries import EntryBook
from baobabhinge_caller.keys import KeyPurse
from baobabhinge_caller.sending import Sender
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_platform.sessions import build_session


@asynccontextmanager
async def open_client(
    seeds: Sequence[str],
    caller: str = '',
) -> AsyncIterator[Client]:
    """Yield a client.

    Parameters
    ----------
    seeds : sequence of str
        ``host:port`` of some gateways.
    caller : str, optional
        Name by which the gateways spread callers; by default one of this
        client alone.
    """
    clock = SystemClock()
    async with build_session() as http:
        entries = EntryBook(http, seeds, clock, caller or uuid.uuid4().hex)
        yield Client(Sender(http, entries), KeyPurse(clock))
