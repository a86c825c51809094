"""Draw of the calls that are among the part of their kind."""

from random import Random

from baobabhinge_gateway.shares.call_keys import CallKey

# Bounds the memory; forgotten kinds begin at random again.
MAX_KINDS = 10_000


class Draws:
    """Admit a part of the calls of each kind, to within one call.

    The sizes of calls do not matter, so large ones are admitted as often as
    small ones.

    Parameters
    ----------
    random : Random
        Where the kinds begin, so that gateways with few calls admit their
        part together.
    """

    __slots__ = ('_random', '_remainders')

    def __init__(self, random: Random) -> None:
        """Start without calls."""
        self._random = random
        self._remainders: dict[CallKey, float] = {}

    def draw(self, key: CallKey, part: float) -> bool:
        """Return whether the next call of a kind is among its part."""
        if len(self._remainders) >= MAX_KINDS:
            self._remainders.clear()
        start = self._random.random()
        remainder = self._remainders.get(key, start) + part
        is_admitted = remainder >= 1
        self._remainders[key] = remainder - is_admitted
        return is_admitted
