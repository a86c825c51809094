"""Backend servers that have asked this gateway for a pause.

Load pattern: a server that is full turns calls away and tells for how long it
wants none, while callers keep sending.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from random import Random

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer

# A server that needs longer is listed no more, or starts anew; a longer time is
# rather a wrong unit. The call that is sent after it brings the next statement.
MAX_PAUSE = timedelta(minutes=5)
# Part of a pause, and upper bound of the time, over which the gateways that it
# was told spread their first calls after it.
SPREAD_FRACTION = 0.25
MAX_SPREAD = timedelta(seconds=1)
# Calls without an answer to a server that returns: one at first, and one more
# after each answer. At this number it takes any.
MAX_WINDOW = 8
NO_TIME = timedelta()
MILLISECOND = timedelta(milliseconds=1)

Incarnation = tuple[str, int]

log = structlog.get_logger(__name__)


class ServerPause:
    """Pause of one server, and its return after it.

    Parameters
    ----------
    end : timedelta
        Instant until which it wants no calls.
    opening : timedelta
        Instant of the first call after it.

    Attributes
    ----------
    window : int
        Calls without an answer that it may have then.
    unanswered : int
        Calls to it without an answer.
    """

    __slots__ = ('end', 'opening', 'unanswered', 'window')

    def __init__(self, end: timedelta, opening: timedelta) -> None:
        """Begin the pause."""
        self.extend(end, opening)
        self.unanswered = 0

    def extend(self, end: timedelta, opening: timedelta) -> None:
        """Begin the pause anew."""
        self.end = end
        self.opening = opening
        self.window = 1

    @property
    def has_room(self) -> bool:
        """Whether another call may be sent after the pause."""
        return self.unanswered < self.window


class ServerPauses:
    """Pauses of servers, and their return to full load.

    Parameters
    ----------
    clock : Clock
        Clock of the pauses.
    random : Random
        Generator that spreads the ends of pauses.
    """

    __slots__ = ('_clock', '_pauses', '_random')

    def __init__(self, clock: Clock, random: Random) -> None:
        """Start without pauses."""
        self._clock = clock
        self._random = random
        self._pauses: dict[Incarnation, ServerPause] = {}

    def record(self, server: BackendServer, pause: timedelta) -> None:
        """Record that ``server`` wants no calls for ``pause``.

        A pause that ends before one that was told earlier has no effect.
        """
        length = min(pause, MAX_PAUSE)
        end = self._clock.read_monotonic() + length
        known = self._find(server)
        if known is not None and end <= known.end:
            return
        spread = min(MAX_SPREAD, length * SPREAD_FRACTION)
        opening = end + spread * self._random.random()
        if known is not None:
            known.extend(end, opening)
            return
        self._pauses[_identify(server)] = ServerPause(end, opening)
        log.info(
            'backend-server-pausing',
            server=server.name,
            pause_ms=length // MILLISECOND,
        )

    def is_paused(self, server: BackendServer) -> bool:
        """Return whether ``server`` is not to get any request."""
        return self.compute_left(server) > NO_TIME

    def may_send(self, server: BackendServer) -> bool:
        """Return whether ``server`` may get another call now."""
        pause = self._find(server)
        if pause is None:
            return True
        return pause.has_room and not self.is_paused(server)

    def compute_left(self, server: BackendServer) -> timedelta:
        """Return the time until ``server`` may get calls; 0 if it may now."""
        pause = self._find(server)
        if pause is None:
            return NO_TIME
        return max(NO_TIME, pause.opening - self._clock.read_monotonic())

    @contextmanager
    def hold(self, server: BackendServer) -> Iterator['SentCall']:
        """Count a call as unanswered while the context is open."""
        sent = SentCall(self._find(server))
        try:
            yield sent
        finally:
            sent.release()
        if sent.is_return_over:
            self._pauses.pop(_identify(server), None)

    def _find(self, server: BackendServer) -> ServerPause | None:
        # Nearly always there is none.
        return self._pauses.get(_identify(server)) if self._pauses else None


class SentCall:
    """A call that a server has not answered yet.

    Parameters
    ----------
    pause : ServerPause or None
        Pause from which the server returns, if it does.
    """

    __slots__ = ('_is_unanswered', '_pause')

    def __init__(self, pause: ServerPause | None) -> None:
        """Count the call."""
        self._pause = pause
        self._is_unanswered = pause is not None
        if pause is not None:
            pause.unanswered += 1

    @property
    def is_return_over(self) -> bool:
        """Whether the server has taken enough calls after its pause."""
        return self._pause is not None and self._pause.window >= MAX_WINDOW

    def record_taken(self) -> None:
        """Record that the server has taken the call, so that it gets more."""
        if self._is_unanswered and self._pause is not None:
            self._pause.window += 1
        self.release()

    def release(self) -> None:
        """Count the call no more; later calls do nothing."""
        if self._is_unanswered and self._pause is not None:
            self._is_unanswered = False
            self._pause.unanswered -= 1


def _identify(server: BackendServer) -> Incarnation:
    return server.name, server.started
