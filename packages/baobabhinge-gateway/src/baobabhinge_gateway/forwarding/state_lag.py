"""How long this gateway has lacked operators' state that others have."""

from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.snapshot import StoreRevisions

MILLISECOND = timedelta(milliseconds=1)
# Configurations are to be in force everywhere within a few seconds.
LATE_AFTER = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class StateLag:
    """Time since another gateway reported a newer revision of the operators.

    Parameters
    ----------
    clock : Clock
        Clock of the reports.
    """

    __slots__ = ('_clock', '_reported', '_since')

    def __init__(self, clock: Clock) -> None:
        """Start without a newer revision."""
        self._clock = clock
        self._reported = 0
        self._since: timedelta | None = None

    def begin(self, reported: StoreRevisions, own: StoreRevisions) -> None:
        """Record that another gateway has applied these revisions."""
        if reported.operators <= own.operators:
            return
        self._reported = max(self._reported, reported.operators)
        if self._since is None:
            self._since = self._clock.read_monotonic()

    def end(self, complete_to: int) -> None:
        """Record the revision up to which all changes were applied.

        It is logged if the reported one was applied late.
        """
        if complete_to < self._reported:
            return
        lag = self.compute()
        self._since = None
        if lag > LATE_AFTER:
            log.warning('operators-state-late', behind_ms=lag // MILLISECOND)

    def compute(self) -> timedelta:
        """Return the time since the first report; 0 if there is none."""
        if self._since is None:
            return timedelta()
        return self._clock.read_monotonic() - self._since
