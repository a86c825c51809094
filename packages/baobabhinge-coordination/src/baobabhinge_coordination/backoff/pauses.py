"""Growing pauses with jitter.

References
----------
M. Brooker, "Exponential backoff and jitter", 2015: a pause drawn evenly from
zero to a bound that doubles spreads callers that failed together.
"""

from datetime import timedelta
from random import Random

SHORTEST_PAUSE = timedelta(milliseconds=500)
LONGEST_PAUSE = timedelta(seconds=30)


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

    __slots__ = ('_bound', '_longest', '_random', '_shortest')

    def __init__(
        self,
        random: Random,
        shortest: timedelta = SHORTEST_PAUSE,
        longest: timedelta = LONGEST_PAUSE,
    ) -> None:
        """Begin with the shortest bound."""
        self._random = random
        self._shortest = shortest
        self._longest = longest
        self._bound = shortest

    def draw_pause(self) -> timedelta:
        """Return the pause after one more failure."""
        pause = self._random.random() * self._bound
        self._bound = min(self._bound * 2, self._longest)
        return pause

    def reset(self) -> None:
        """Begin again after a success."""
        self._bound = self._shortest
