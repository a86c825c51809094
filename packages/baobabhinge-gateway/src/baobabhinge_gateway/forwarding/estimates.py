"""When a backend server would give the first piece of an answer."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment import BackendServer, Engine
from baobabhinge_gateway.forwarding.loads import ServerLoad

# Sheets of both deployments: prompt tokens that an engine reads in a ms.
READ_RATE = 56.6
# Sheets: a step takes 3.79 ms and 0.0893 ms more for each running call.
STEP_MS = 3.79
STEP_MS_PER_CALL = 0.0893
# An event holds seven tokens, and each step makes one of each call.
FIRST_EVENT_STEPS = 7
# Site files: set-up before the first token.
SET_UP_MS = 16
# Memory above this share makes engines preempt running calls.
MEMORY_SHARE = 0.9
# A preempted or waiting call loses about the time of one answer.
OVERFLOW_MS = 2000
# Sheets: mean time of one plain call, 15 ms to 45 ms.
PLAIN_MS = 30


class Prospect(msgspec.Struct, frozen=True):
    """What one server would do for one call.

    Parameters
    ----------
    server : BackendServer
        The server.
    wait : timedelta
        Estimated time to the first piece of the answer.
    added : ServerLoad
        What the call would add to the load of the server.
    calls : int
        Calls that it has now.
    """

    server: BackendServer
    wait: timedelta
    added: ServerLoad
    calls: int = 0

    def delay(self, penalty: timedelta) -> 'Prospect':
        """Return the same prospect, later by ``penalty``."""
        return Prospect(
            self.server,
            self.wait + penalty,
            self.added,
            self.calls,
        )


def estimate_engine(
    engine: Engine,
    server: BackendServer,
    load: ServerLoad,
    added: ServerLoad,
) -> Prospect:
    """Return what an engine would do for a call.

    Parameters
    ----------
    engine : Engine
        Size of the engine.
    server : BackendServer
        The engine.
    load : ServerLoad
        Calls that it has.
    added : ServerLoad
        The call: the prompt that is not cached, and its memory.
    """
    wait = _measure_reading(load.unread + added.unread, load.calls)
    overfull = _measure_overflow(engine, load.add(added))
    wait += OVERFLOW_MS * overfull
    return Prospect(server, timedelta(milliseconds=wait), added, load.calls)


def _measure_reading(unread: int, calls: int) -> float:
    step = STEP_MS + STEP_MS_PER_CALL * calls
    reading = unread / READ_RATE
    return SET_UP_MS + FIRST_EVENT_STEPS * step + reading


def _measure_overflow(engine: Engine, load: ServerLoad) -> float:
    tokens = max(0, load.memory - MEMORY_SHARE * engine.memory)
    calls = max(0, load.calls - engine.slots)
    return tokens / max(1, load.memory) + calls / engine.slots


def estimate_plain(server: BackendServer, load: ServerLoad) -> Prospect:
    """Return what an application worker would do for a call."""
    rounds = (load.calls + 1) / max(1, server.slots)
    wait = timedelta(milliseconds=PLAIN_MS * max(1, rounds))
    return Prospect(server, wait, ServerLoad(1), load.calls)
