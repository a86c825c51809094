"""Limits that backend servers name: calls per second from all gateways.

Load pattern: a server in need tells on its answers how many calls it takes,
while callers keep sending to all gateways.
"""

from collections.abc import Iterable, Sequence
from datetime import timedelta

import msgspec
import structlog

from baobabhinge_coordination.bounds import Milliseconds, Rate
from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.call_pacing import CallPacer

MILLISECOND = timedelta(milliseconds=1)
# Fraction of a limit that is used. Two gateways that disagree about which one
# may send stay below one and a half times the limit together.
RATE_FRACTION = 0.75
# A server that takes nothing gets a call from time to time, from whose answer
# the end of its limit is learned.
MIN_RATE = 0.2
# An end is told to other gateways until each has received it.
ENDED_RETENTION = timedelta(seconds=10)
# A limit that no answer has confirmed for so long is dropped: the server gets
# no calls at all, and names its limit again if it is still in need.
LIMIT_RETENTION = timedelta(minutes=1)
# Above the time in which a heartbeat reaches a gateway of the same region.
REPETITION_MARGIN = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """Latest statement of one server on its limit.

    Parameters
    ----------
    server : str
        Name of the server.
    rate : float or None
        Calls per second that it takes; ``None`` if it names no limit.
    age_ms : int
        Time since the answer with the statement, in milliseconds.
    """

    server: str
    rate: Rate | None
    age_ms: Milliseconds


class _Statement(msgspec.Struct, frozen=True):
    rate: float | None
    instant: timedelta

    def is_expired(self, now: timedelta) -> bool:
        retention = ENDED_RETENTION if self.rate is None else LIMIT_RETENTION
        return now - self.instant > retention


class LimitTable:
    """Latest statement of each server, or service, that names a limit.

    Parameters
    ----------
    clock : Clock
        Clock of the statements.
    kind : str
        What is limited, for the log.
    """

    __slots__ = ('_clock', '_kind', '_statements')

    def __init__(self, clock: Clock, kind: str) -> None:
        """Start without limits."""
        self._clock = clock
        self._kind = kind
        self._statements: dict[str, _Statement] = {}

    def find(self, server: str) -> float | None:
        """Return the limit of a server in calls per second, if it has one."""
        statement = self._statements.get(server)
        if statement is None:
            return None
        if statement.is_expired(self._clock.read_monotonic()):
            self._statements.pop(server)
            return None
        return statement.rate

    def record(self, server: str, rate: float | None) -> None:
        """Record what an answer of a server says.

        Parameters
        ----------
        server : str
            Name of the server.
        rate : float or None
            Calls per second that it takes; ``None`` ends a limit.
        """
        if rate is not None or server in self._statements:
            statement = _Statement(rate, self._clock.read_monotonic())
            self._replace(server, statement)

    def export(self) -> Sequence[LimitReport]:
        """Return the latest statements, for other gateways."""
        now = self._clock.read_monotonic()
        self._statements = {
            server: statement
            for server, statement in self._statements.items()
            if not statement.is_expired(now)
        }
        return tuple(
            LimitReport(
                server, statement.rate, (now - statement.instant) // MILLISECOND
            )
            for server, statement in self._statements.items()
        )

    def merge(self, reports: Iterable[LimitReport]) -> None:
        """Apply the statements of another gateway that are newer."""
        now = self._clock.read_monotonic()
        for report in reports:
            statement = _Statement(
                report.rate, now - report.age_ms * MILLISECOND
            )
            if self._is_news(report.server, statement):
                self._replace(report.server, statement)

    def _is_news(self, server: str, statement: _Statement) -> bool:
        if statement.is_expired(self._clock.read_monotonic()):
            return False
        known = self._statements.get(server)
        if known is None:
            return True
        # Ages leave out the time of the message, so that a statement that is
        # repeated back looks newer than it is.
        is_repetition = known.rate == statement.rate
        margin = REPETITION_MARGIN if is_repetition else timedelta()
        return known.instant + margin < statement.instant

    def _replace(self, server: str, statement: _Statement) -> None:
        known = self._statements.get(server)
        before = known.rate if known else None
        self._statements[server] = statement
        if statement.rate == before:
            return
        if statement.rate is None:
            log.info(
                'server-limit-ended',
                server=server,
                rate=before,
                kind=self._kind,
            )
        else:
            log.info(
                'server-limit-named',
                server=server,
                rate=statement.rate,
                kind=self._kind,
            )


class ServerLimits(LimitTable):
    """Calls per second that servers take.

    Parameters
    ----------
    clock : Clock
        Clock of the statements.

    Attributes
    ----------
    pacer : CallPacer
        Times of the next calls to servers with a limit.
    """

    __slots__ = ('pacer',)

    def __init__(self, clock: Clock) -> None:
        """Start without limits."""
        super().__init__(clock, 'calls')
        self.pacer = CallPacer(clock)
