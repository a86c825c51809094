"""Estimates of the time to the first chunk of an answer, for each server."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment import BackendServer, Engine
from baobabhinge_gateway.forwarding.loads import ServerLoad

# Prefill rate of an engine, from the data sheets of both deployments.
PREFILL_TOKENS_PER_MS = 56.6
# A decode step takes 3.79 ms plus 0.0893 ms for each running call, from the
# data sheets.
DECODE_STEP_MS = 3.79
DECODE_STEP_MS_PER_CALL = 0.0893
# An event holds seven tokens, and each decode step makes one for each call.
FIRST_EVENT_STEPS = 7
# Setup before the first token, from the site files.
SETUP_MS = 16
# Engines preempt running calls when more of their memory than this is used.
USABLE_MEMORY_FRACTION = 0.9
# A preempted or waiting call loses about the time of one answer.
OVERFLOW_DELAY = timedelta(seconds=2)
# The copy time is multiplied by this factor, so that an engine that has the
# prompt cached is chosen unless another one is clearly less busy.
COPY_TIME_FACTOR = 4
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# Mean time of one call to a plain service; the data sheets say 15 ms to 45 ms.
PLAIN_CALL_MS = 30


class ServerEstimate(msgspec.Struct, frozen=True):
    """Expected result of sending one call to one server.

    Parameters
    ----------
    server : BackendServer
        The server.
    wait : timedelta
        Expected time to the first chunk of the answer.
    added : ServerLoad
        Load that the call would add to the server.
    calls : int
        Calls in flight at the server now.
    copy_from : BackendServer or None
        Engine from which the server is to copy the cached prefix.
    """

    server: BackendServer
    wait: timedelta
    added: ServerLoad
    calls: int = 0
    copy_from: BackendServer | None = None

    def delay_by(self, penalty: timedelta) -> 'ServerEstimate':
        """Return the estimate with ``penalty`` added to the wait."""
        return msgspec.structs.replace(self, wait=self.wait + penalty)

    def with_copy(
        self,
        source: BackendServer,
        delay: timedelta,
    ) -> 'ServerEstimate':
        """Return the estimate for a call that copies a prefix first.

        Parameters
        ----------
        source : BackendServer
            Engine that has the prefix cached.
        delay : timedelta
            Time that the copy takes.
        """
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
    """Return the estimate for a call on an engine.

    Parameters
    ----------
    engine : Engine
        Capacity of the engine.
    server : BackendServer
        The engine.
    load : ServerLoad
        Its current load.
    added : ServerLoad
        Load of the call: the uncached part of its prompt, and its memory.
    """
    prefill_time = estimate_prefill_time(load.unread + added.unread)
    overflow = _compute_overflow(engine, load.add(added))
    wait = (
        prefill_time
        + _estimate_first_event_time(load.calls)
        + OVERFLOW_DELAY * overflow
    )
    return ServerEstimate(server, wait, added, load.calls)


def estimate_copy_time(engine: Engine, tokens: int) -> timedelta:
    """Return the weighted time in which engines copy a cached prefix.

    Parameters
    ----------
    engine : Engine
        Capacity of the engines; their copy rate is not 0.
    tokens : int
        Length of the copied prefix.
    """
    bits = tokens * engine.token_bytes * BITS_PER_BYTE
    seconds = bits / (engine.copy_rate * BITS_PER_MEGABIT)
    return COPY_TIME_FACTOR * timedelta(seconds=seconds)


def estimate_prefill_time(tokens: int) -> timedelta:
    """Return the time that an engine takes to prefill ``tokens``."""
    return timedelta(milliseconds=tokens / PREFILL_TOKENS_PER_MS)


def _estimate_first_event_time(calls: int) -> timedelta:
    step = DECODE_STEP_MS + DECODE_STEP_MS_PER_CALL * calls
    return timedelta(milliseconds=SETUP_MS + FIRST_EVENT_STEPS * step)


def _compute_overflow(engine: Engine, load: ServerLoad) -> float:
    tokens = max(0, load.memory - USABLE_MEMORY_FRACTION * engine.memory)
    calls = max(0, load.calls - engine.slots)
    return tokens / max(1, load.memory) + calls / engine.slots


def estimate_plain_service(
    server: BackendServer,
    load: ServerLoad,
) -> ServerEstimate:
    """Return the estimate for a call on a server of a plain service.

    Its calls take turns in its slots, so the wait grows with the calls per
    slot.
    """
    calls_per_slot = (load.calls + 1) / max(1, server.slots)
    wait = timedelta(milliseconds=PLAIN_CALL_MS * max(1, calls_per_slot))
    return ServerEstimate(server, wait, ServerLoad(1), load.calls)
