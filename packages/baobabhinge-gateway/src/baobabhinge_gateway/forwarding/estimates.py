"""Estimates of the time to the first chunk of an answer, for each server."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment import BackendServer, Engine
from baobabhinge_gateway.forwarding.engine_timing import (
    SHORT_PROMPT_TOKENS,
    estimate_first_event_time,
    estimate_prefill_delay,
    estimate_prefill_time,
)
from baobabhinge_gateway.forwarding.server_load import (
    LEAST_URGENT,
    ServerLoad,
)

# Engines preempt running calls when more of their memory than this is used.
USABLE_MEMORY_FRACTION = 0.9
# A preempted or waiting call loses about the time of one answer.
OVERFLOW_DELAY = timedelta(seconds=2)
# Weight of the delay of a long answer beside that of the call to place.
OTHERS_WEIGHT = 0.4
# About one chunk of a prompt, which the loads of other gateways tell too late.
ENGINE_RESOLUTION = timedelta(milliseconds=20)
# Below the time that one more call adds in a slot of a plain service.
SHORTEST_RESOLUTION = timedelta(milliseconds=3)
# Mean time of one call to a plain service; the data sheets say 15 ms to 45 ms.
PLAIN_CALL_MS = 30
ONE_CALL = ServerLoad(1)


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
    queueing : timedelta
        Part of the wait during which the server prefills other prompts.
    resolution : timedelta
        Shortest difference between two waits that the loads can tell.
    backlog : timedelta
        Time in which the server prefills all prompts that are waiting.
    delay_of_others : timedelta
        Weighted time by which the prompt delays long answers on the server.
    expected : timedelta or None
        Wait at a server of usual speed; ``None`` if speeds are not learned.
    imbalance : timedelta
        Weight of the work that the server got beyond its share; negative if
        it got less.
    spread : timedelta
        Bound of a random delay by which gateways with the same outdated loads
        choose different servers.
    """

    server: BackendServer
    wait: timedelta
    added: ServerLoad
    calls: int = 0
    copy_from: BackendServer | None = None
    queueing: timedelta = timedelta()
    resolution: timedelta = SHORTEST_RESOLUTION
    backlog: timedelta = timedelta()
    delay_of_others: timedelta = timedelta()
    expected: timedelta | None = None
    imbalance: timedelta = timedelta()
    spread: timedelta = timedelta()

    def delay_by(self, penalty: timedelta) -> 'ServerEstimate':
        """Return the estimate with ``penalty`` added to the wait."""
        if not penalty:
            return self
        return msgspec.structs.replace(self, wait=self.wait + penalty)

    def scale(self, factor: float) -> 'ServerEstimate':
        """Return the estimate for a server that takes ``factor`` as long."""
        return msgspec.structs.replace(
            self,
            wait=self.wait * factor,
            queueing=self.queueing * factor,
            backlog=self.backlog * factor,
            delay_of_others=self.delay_of_others * factor,
            expected=self.wait,
        )

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
    priority: int = LEAST_URGENT,
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
    priority : int, optional
        Priority of the call; 0 is the most urgent.
    """
    queueing = estimate_prefill_delay(load.count_ahead(priority), load.calls)
    overflow = _compute_overflow(engine, load.add(added))
    wait = (
        queueing
        + estimate_prefill_delay(added.unread, load.calls)
        + estimate_first_event_time(load.calls)
        + OVERFLOW_DELAY * overflow
    )
    return ServerEstimate(
        server,
        wait,
        added,
        load.calls,
        queueing=queueing,
        resolution=ENGINE_RESOLUTION,
        backlog=estimate_prefill_time(load.unread),
        delay_of_others=_estimate_delay_of_others(load, added),
    )


def _estimate_delay_of_others(
    load: ServerLoad,
    added: ServerLoad,
) -> timedelta:
    if added.long_answers:
        return timedelta()
    # Bounded, so that the longest prompts are not refused more often.
    delay = estimate_prefill_time(min(added.unread, SHORT_PROMPT_TOKENS))
    return OTHERS_WEIGHT * load.long_answers * delay


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
    return ServerEstimate(server, wait, ONE_CALL, load.calls)
