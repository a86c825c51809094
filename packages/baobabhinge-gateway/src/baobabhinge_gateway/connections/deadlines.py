"""End of streams whose callers do not read them."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.call import Call

StreamBound = Callable[[Call], AbstractAsyncContextManager[None]]

# The time limit of the exchange comes first while the server is waited for.
MARGIN = timedelta(milliseconds=50)


@asynccontextmanager
async def bound_stream(clock: Clock, call: Call) -> AsyncIterator[None]:
    """End a stream after its deadline, also while its caller does not read.

    The time limit of the exchange applies only while an answer is read.

    Raises
    ------
    ConnectionResetError
        If the caller did not read, which is no fault of the server.
    """
    left = call.deadline - clock.read_monotonic() + MARGIN
    bound = asyncio.timeout(left.total_seconds())
    try:
        async with bound:
            yield
    except TimeoutError as late:
        if not bound.expired():
            raise
        raise ConnectionResetError('the caller did not read') from late
