"""When a second copy of a call may be sent, and to which server."""

from collections import defaultdict, deque
from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.estimates import ServerEstimate

# Share of the calls of a service that are answered before a copy is sent.
QUANTILE = 0.95
# Of fewer than 20 times, the quantile is the longest one. With some 90
# gateways, each sees less than one call of a service in a second.
MIN_TIMES = 10
MAX_TIMES = 200
TIMES_MAX_AGE = timedelta(seconds=60)
# Copies that may be saved up; some calls are slow together.
MAX_SAVED = 3.0
# A server with more calls in each slot gets no copies, and no copies are sent
# while the servers of the region have more on average.
MAX_OCCUPANCY = 0.5
# A server that is expected to take longer, relative to the first one when the
# call was placed, would answer no sooner than the slow first attempt.
MAX_WAIT_FACTOR = 2

# Instants at which calls were answered, and the times that they took.
Times = deque[tuple[timedelta, timedelta]]


class RecentTimes:
    """Times of the calls of each service, as far as they were answered.

    Parameters
    ----------
    clock : Clock
        Clock by which times are forgotten.
    """

    __slots__ = ('_clock', '_times')

    def __init__(self, clock: Clock) -> None:
        """Start without times."""
        self._clock = clock
        self._times: defaultdict[str, Times] = defaultdict(
            lambda: deque(maxlen=MAX_TIMES)
        )

    def record(self, service: str, begun: timedelta) -> None:
        """Record that a call which was sent at ``begun`` is answered now."""
        now = self._clock.read_monotonic()
        self._times[service].append((now, now - begun))

    def find_limit(self, service: str) -> timedelta | None:
        """Return the time after which a call is slow; ``None`` if unknown."""
        times = self._times[service]
        oldest = self._clock.read_monotonic() - TIMES_MAX_AGE
        while times and times[0][0] < oldest:
            times.popleft()
        if len(times) < MIN_TIMES:
            return None
        elapsed = sorted(one for _, one in times)
        return elapsed[int(QUANTILE * len(elapsed))]


class CopyShare:
    """Bound on the copies, as a share of the calls of each service.

    Parameters
    ----------
    share : float
        Copies for each call.
    saved : float, optional
        Part of a copy that is saved up at the start, below 1. Drawn at random,
        it keeps the share on average where each gateway has few calls.
    """

    __slots__ = ('_saved', 'share')

    def __init__(self, share: float, saved: float = 0) -> None:
        """Start without a copy that may be sent."""
        self._saved: defaultdict[str, float] = defaultdict(lambda: saved)
        self.share = share

    def record_call(self, service: str) -> None:
        """Count a call of ``service``."""
        saved = self._saved[service] + self.share
        self._saved[service] = min(MAX_SAVED, saved)

    def has_room(self, service: str) -> bool:
        """Return whether a copy of a call of ``service`` may be sent."""
        return self._saved[service] >= 1

    def record_copy(self, service: str) -> None:
        """Count a copy."""
        self._saved[service] -= 1


def choose_second(
    estimates: Sequence[ServerEstimate], usual: timedelta
) -> ServerEstimate | None:
    """Return the server for a second copy, or ``None`` if none is idle enough.

    Parameters
    ----------
    estimates : sequence of ServerEstimate
        Servers of the region that may get the copy.
    usual : timedelta
        Wait at the first server, as it was estimated when it was chosen.
    """
    occupancies = [_compute_occupancy(estimate) for estimate in estimates]
    if sum(occupancies) > MAX_OCCUPANCY * len(occupancies):
        return None
    idle = [
        estimate
        for estimate in estimates
        if _compute_occupancy(estimate) <= MAX_OCCUPANCY
        and estimate.wait <= MAX_WAIT_FACTOR * usual
    ]
    return min(idle, key=lambda estimate: estimate.wait, default=None)


def _compute_occupancy(estimate: ServerEstimate) -> float:
    return estimate.calls / max(1, estimate.server.slots)
