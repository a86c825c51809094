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
OVERFLOW = timedelta(seconds=2)
# A copied prompt counts this often, so that an engine that has the prompt is
# taken unless another is clearly freer.
COPY_WEIGHT = 4
BITS = 8
BITS_IN_MEGABIT = 1_000_000
# Sheets: mean time of one plain call, 15 ms to 45 ms.
PLAIN_MS = 30


class ServerEstimate(msgspec.Struct, frozen=True):
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
    copy_from : BackendServer or None
        Engine from which it is to copy what that has read of the prompt.
    """

    server: BackendServer
    wait: timedelta
    added: ServerLoad
    calls: int = 0
    copy_from: BackendServer | None = None

    def delay_by(self, penalty: timedelta) -> 'ServerEstimate':
        """Return the same estimate, later by ``penalty``."""
        return msgspec.structs.replace(self, wait=self.wait + penalty)

    def with_copy(
        self, source: BackendServer, delay: timedelta
    ) -> 'ServerEstimate':
        """Return the same estimate with a copy from ``source`` first."""
        return msgspec.structs.replace(
            self,
            wait=self.wait + delay,
            copy_from=source,
        )


def estimate_engine(
    engine: Engine,
    server: BackendServer,
    load: ServerLoad,
    added: ServerLoad,
) -> ServerEstimate:
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
    reading = estimate_prefill_time(load.unread + added.unread)
    overfull = _measure_overflow(engine, load.add(added))
    wait = reading + _measure_first_event(load.calls) + OVERFLOW * overfull
    return ServerEstimate(server, wait, added, load.calls)


def estimate_copy_time(engine: Engine, tokens: int) -> timedelta:
    """Return how long engines take to copy the memory of ``tokens``.

    Parameters
    ----------
    engine : Engine
        Size of the engines; their rate is not 0.
    tokens : int
        Length of what is copied.
    """
    bits = tokens * engine.token_bytes * BITS
    seconds = bits / (engine.copy_rate * BITS_IN_MEGABIT)
    return COPY_WEIGHT * timedelta(seconds=seconds)


def estimate_prefill_time(tokens: int) -> timedelta:
    """Return how long an engine takes to read ``tokens`` of prompts."""
    return timedelta(milliseconds=tokens / READ_RATE)


def _measure_first_event(calls: int) -> timedelta:
    step = STEP_MS + STEP_MS_PER_CALL * calls
    return timedelta(milliseconds=SET_UP_MS + FIRST_EVENT_STEPS * step)


def _measure_overflow(engine: Engine, load: ServerLoad) -> float:
    tokens = max(0, load.memory - MEMORY_SHARE * engine.memory)
    calls = max(0, load.calls - engine.slots)
    return tokens / max(1, load.memory) + calls / engine.slots


def estimate_plain_service(
    server: BackendServer, load: ServerLoad
) -> ServerEstimate:
    """Return what an application worker would do for a call."""
    rounds = (load.calls + 1) / max(1, server.slots)
    wait = timedelta(milliseconds=PLAIN_MS * max(1, rounds))
    return ServerEstimate(server, wait, ServerLoad(1), load.calls)
