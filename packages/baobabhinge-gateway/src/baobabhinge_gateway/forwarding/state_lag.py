"""How long this gateway has lacked state that other gateways have."""

import asyncio
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.snapshot import StoreRevisions

MILLISECOND = timedelta(milliseconds=1)
# Changes are to be in force everywhere within a few seconds.
LATE_AFTER = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class PartLag:
    """Time since another gateway reported a newer revision of one part.

    Parameters
    ----------
    clock : Clock
        Clock of the reports.
    part : str
        Name of the part, for the log.

    Attributes
    ----------
    part : str
        Name of the part.
    failed_fetches : int
        Requests to other gateways that have failed meanwhile.
    has_news : asyncio.Event
        Set when another gateway reports a newer revision.
    """

    __slots__ = (
        '_clock',
        '_reported',
        '_since',
        'failed_fetches',
        'has_news',
        'part',
    )

    def __init__(self, clock: Clock, part: str) -> None:
        """Start without a newer revision."""
        self._clock = clock
        self.part = part
        self._reported = 0
        self._since: timedelta | None = None
        self.failed_fetches = 0
        self.has_news = asyncio.Event()

    def begin(self, reported: int, own: int) -> None:
        """Record that another gateway has applied this revision."""
        if reported <= own:
            return
        self.has_news.set()
        self._reported = max(self._reported, reported)
        if self._since is None:
            self._since = self._clock.read_monotonic()
            self.failed_fetches = 0

    def end(self, complete_to: int) -> None:
        """Record the revision up to which all changes were applied.

        It is logged if the reported one was applied late.
        """
        if complete_to < self._reported:
            return
        lag = self.compute()
        self._since = None
        if lag > LATE_AFTER:
            log.warning(
                f'{self.part}-state-late',
                behind_ms=lag // MILLISECOND,
                failed_fetches=self.failed_fetches,
            )

    def compute(self) -> timedelta:
        """Return the time since the first report; 0 if there is none."""
        if self._since is None:
            return timedelta()
        return self._clock.read_monotonic() - self._since


class StateLag:
    """Lag of each part of the state.

    Parameters
    ----------
    clock : Clock
        Clock of the reports.

    Attributes
    ----------
    operators, servers : PartLag
        Lag of the operators' state, and of the list of backend servers.
    """

    __slots__ = ('operators', 'servers')

    def __init__(self, clock: Clock) -> None:
        """Start without newer revisions."""
        self.operators = PartLag(clock, 'operators')
        self.servers = PartLag(clock, 'servers')

    def begin(self, reported: StoreRevisions, own: StoreRevisions) -> None:
        """Record that another gateway has applied these revisions."""
        self.operators.begin(reported.operators, own.operators)
        self.servers.begin(reported.servers, own.servers)

    def end(self, complete_to: StoreRevisions) -> None:
        """Record the revisions up to which all changes were applied."""
        self.operators.end(complete_to.operators)
        self.servers.end(complete_to.servers)
