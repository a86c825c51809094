"""Growing pauses with jitter.

References
----------
M. Brooker, "Exponential backoff and jitter", 2015: a pause drawn evenly from
zero to a bound that doubles spreads callers that failed together.
"""

from datetime import timedelta
from random import Random

INITIAL_BOUND = timedelta(milliseconds=500)
MAX_BOUND = timedelta(seconds=30)


class Backoff:
    """Pauses of one caller.

    Parameters
    ----------
    random : Random
        Generator of the jitter, not shared between callers' seeds.
    shortest, longest : timedelta, optional
        Bound of the first pause, and of all later ones.

    Examples
    --------
    >>> from random import Random
    >>> backoff = Backoff(Random(1))
    >>> backoff.draw_pause() < SHORTEST_PAUSE
    True
    """

    __slots__ = ('_bound', '_initial_bound', '_max_bound', '_random')

    def __init__(
        self,
        random: Random,
        initial_bound: timedelta = INITIAL_BOUND,
        max_bound: timedelta = MAX_BOUND,
    ) -> None:
        """Begin with the shortest bound."""
        self._random = random
        self._initial_bound = initial_bound
        self._max_bound = max_bound
        self._bound = initial_bound

    def draw_delay(self) -> timedelta:
        """Return the pause after one more failure."""
        pause = self._random.random() * self._bound
        self._bound = min(self._bound * 2, self._max_bound)
        return pause

    def reset(self) -> None:
        """Begin again after a success."""
        self._bound = self._initial_bound
