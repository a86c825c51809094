"""Share of the arriving calls that a gateway which is behind admits."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock

# Runs of the event loop until the answer to a call begins: its bytes are read,
# it is placed, it is sent, and the answer is passed on.
RUNS_OF_LOOP = 4
# Calls are to be placed within this fraction of their objective. An eighth
# refused a third of the calls at 1.0 of what the process can handle.
HELD_FRACTION = 0.25
# Below this fraction of the bound, more calls are admitted again.
RECOVERY_FRACTION = 0.5
# Decrease of the share at a tick, in proportion to the excess over the bound.
DECREASE = 0.1
MAX_DECREASE = 0.4
# From the least share to all calls within two seconds.
INCREASE = 0.025
LEAST_ADMITTED = 0.05
# An overload has ended after this time without a delay.
CALM_TIME = timedelta(seconds=2)


class AdmissionShare:
    """Adjust the admitted share to the delay of the event loop.

    Parameters
    ----------
    clock : Clock
        Clock of the calm time.

    Attributes
    ----------
    admitted : float
        Share of the arriving calls to admit, from `LEAST_ADMITTED` to 1.
    is_overloaded : bool
        Whether calls are refused, or were within `CALM_TIME`.
    """

    __slots__ = ('_calm_since', '_clock', 'admitted', 'is_overloaded')

    def __init__(self, clock: Clock) -> None:
        """Admit all calls."""
        self._clock = clock
        self._calm_since = clock.read_monotonic()
        self.admitted = 1.0
        self.is_overloaded = False

    def update(self, delay: timedelta, objective: timedelta) -> None:
        """Adjust the share to a delay that stands.

        Parameters
        ----------
        delay : timedelta
            Delay of the event loop.
        objective : timedelta
            Shortest objective of the calls that arrive.
        """
        now = self._clock.read_monotonic()
        ratio = RUNS_OF_LOOP * delay / (objective * HELD_FRACTION)
        if ratio > 1:
            decrease = min(MAX_DECREASE, DECREASE * (ratio - 1))
            self.admitted = max(LEAST_ADMITTED, self.admitted * (1 - decrease))
            self.is_overloaded = True
        elif ratio < RECOVERY_FRACTION:
            self.admitted = min(1.0, self.admitted + INCREASE)
        if self.admitted < 1:
            self._calm_since = now
        elif now - self._calm_since >= CALM_TIME:
            self.is_overloaded = False
