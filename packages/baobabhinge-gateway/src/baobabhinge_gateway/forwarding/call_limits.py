"""Limits of one call: the time left, and how often it may have run."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.connections.problems import CallerLeftError
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.crashing_calls import CrashingCallError
from baobabhinge_gateway.forwarding.failures import (
    DeclinedError,
    NotServedError,
)

# In less time than this, no backend server can answer.
MIN_TIME_LEFT = timedelta(milliseconds=20)


def compute_time_left(call: Call, clock: Clock) -> timedelta:
    """Return the time until the deadline of ``call``.

    Raises
    ------
    NotServedError
        If it is too short to send the call.
    """
    time_left = call.deadline - clock.read_monotonic()
    if time_left < MIN_TIME_LEFT:
        raise NotServedError(
            'too little of the time limit was left to send the call'
        )
    return time_left


# Errors of exchanges that provably caused no run.
NOT_RUN = (
    NotReachedError,
    DeclinedError,
    CrashingCallError,
    CallerLeftError,
)


@contextmanager
def count_runs(call: Call, runs: int) -> Iterator[int]:
    """Add ``runs`` to the runs of ``call``, unless it provably did not run.

    Parameters
    ----------
    call : Call
        The call.
    runs : int
        Runs that the exchange in the context may cause.

    Yields
    ------
    int
        Number of runs before.
    """
    before = call.runs
    call.runs = before + runs
    try:
        yield before
    except NOT_RUN:
        call.runs = before
        raise
