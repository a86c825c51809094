"""What is left of a call's time, and how often it may have run."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.failures import (
    DeclinedError,
    NotServedError,
)

# Below this a backend server can't answer anything in time.
SHORTEST_SEND = timedelta(milliseconds=20)


def compute_time_left(call: Call, clock: Clock) -> timedelta:
    """Return the time left for ``call``.

    Raises
    ------
    NotServedError
        If there is too little of it to send the call anywhere.
    """
    left = call.deadline - clock.read_monotonic()
    if left < SHORTEST_SEND:
        raise NotServedError('the time limit passed before the call was sent')
    return left


@contextmanager
def count_runs(call: Call, runs: int) -> Iterator[int]:
    """Count ``runs`` more runs of ``call``, unless it provably did not run.

    Yields
    ------
    int
        Runs before.
    """
    before = call.runs
    call.runs = before + runs
    try:
        yield before
    except (NotReachedError, DeclinedError):
        call.runs = before
        raise
