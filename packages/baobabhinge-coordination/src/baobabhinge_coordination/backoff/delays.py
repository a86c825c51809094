"""Growing retry delays with jitter.

References
----------
M. Brooker, "Exponential backoff and jitter", 2015: a delay drawn uniformly
from zero to a bound that doubles spreads callers that failed together.
"""

from datetime import timedelta
from random import Random

INITIAL_BOUND = timedelta(milliseconds=500)
MAX_BOUND = timedelta(seconds=30)


class Backoff:
    """Retry delays of one caller.

    Parameters
    ----------
    random : Random
        Generator of the jitter; its seed differs between callers.
    initial_bound, max_bound : timedelta, optional
        Upper bound of the first delay, and of all later ones.

    Examples
    --------
    >>> from random import Random
    >>> backoff = Backoff(Random(1))
    >>> backoff.draw_delay() < INITIAL_BOUND
    True
    """

    __slots__ = ('_bound', '_initial_bound', '_max_bound', '_random')

    def __init__(
        self,
        random: Random,
        initial_bound: timedelta = INITIAL_BOUND,
        max_bound: timedelta = MAX_BOUND,
    ) -> None:
        """Start with the initial bound."""
        self._random = random
        self._initial_bound = initial_bound
        self._max_bound = max_bound
        self._bound = initial_bound

    def draw_delay(self) -> timedelta:
        """Return the delay after one more failure."""
        delay = self._random.random() * self._bound
        self._bound = min(self._bound * 2, self._max_bound)
        return delay

    def reset(self) -> None:
        """Return to the initial bound after a success."""
        self._bound = self._initial_bound
