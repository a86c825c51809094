"""When a backend server would give the first piece of an answer."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment import BackendServer, Engine
from baobabhinge_gateway.forwarding.loads import ServerLoad

# Sheets of both deployments: prompt tokens that an engine reads in a ms.
READ_RATE = 56.6
# Sheets: a step takes 3.79 ms and 0.0893 ms more for each running call; a
# chunk of 1,024 tokens of other prompts goes between two steps.
STEP_MS = 3.79
STEP_MS_PER_CALL = 0.0893
# First event: seven steps and the set-up that an engine needs.
FIRST_EVENT_STEPS = 7
SET_UP_MS = 16.0
# Memory above this share makes engines preempt running calls.
MEMORY_SHARE = 0.9
# A preempted or waiting call loses about the time of one answer.
OVERFLOW_MS = 2000.0
# Time of one plain call at an application worker, until it has told its own.
PLAIN_MS = 40.0


class Prospect(msgspec.Struct, frozen=True):
    """What one server would do for one call.

    Parameters
    ----------
    server : BackendServer
        The server.
    wait : timedelta
        Estimated time to the first piece of the answer.
    unread : int
        Prompt tokens that it would have to read.
    """

    server: BackendServer
    wait: timedelta
    unread: int = 0


def estimate_engine(
    engine: Engine,
    load: ServerLoad,
    unread: int,
    held: int,
) -> timedelta:
    """Return the time to the first event of a call at an engine.

    Parameters
    ----------
    engine : Engine
        Size of the engine.
    load : ServerLoad
        Calls that it has.
    unread : int
        Prompt tokens of the call that it has not cached.
    held : int
        Tokens of memory that the call needs in all.
    """
    step = STEP_MS + STEP_MS_PER_CALL * load.calls
    wait = SET_UP_MS + (load.unread + unread) / READ_RATE
    wait += FIRST_EVENT_STEPS * step
    overflow = load.memory + held - MEMORY_SHARE * engine.memory
    if overflow > 0:
        wait += OVERFLOW_MS * overflow / held
    excess = load.calls + 1 - engine.slots
    if excess > 0:
        wait += OVERFLOW_MS * excess / engine.slots
    return timedelta(milliseconds=wait)


def estimate_plain(server: BackendServer, load: ServerLoad) -> timedelta:
    """Return the time to the answer of an application worker."""
    rounds = (load.calls + 1) / max(1, server.slots)
    return timedelta(milliseconds=PLAIN_MS * max(1.0, rounds))
