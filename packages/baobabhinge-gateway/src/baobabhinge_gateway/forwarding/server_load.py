"""Load of one backend server."""

from itertools import starmap, zip_longest
from operator import add, sub

import msgspec

from baobabhinge_coordination.bounds import Count

# Lowest priority that is told apart; it stands for all below it too.
LEAST_URGENT = 3


class ServerLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of one backend server, or the part of it that some calls cause.

    Parameters
    ----------
    calls : int
        Calls in flight.
    unread : int
        Prompt tokens still to be prefilled, for calls without a first event.
    memory : int
        Tokens that the calls hold in memory on average.
    unread_by_priority : tuple of int
        ``unread`` by the priority of the calls, most urgent first; empty if
        it is not known.
    long_answers : int
        Calls in flight whose answers may end too late on an engine that
        prefills in each step.
    """

    calls: Count = 0
    unread: Count = 0
    memory: Count = 0
    unread_by_priority: tuple[Count, ...] = ()
    long_answers: Count = 0

    def count_ahead(self, priority: int) -> int:
        """Return the tokens that are prefilled before a new call.

        Engines prefill the prompts of more urgent calls first. Tokens of
        unknown priority count as ahead.

        Parameters
        ----------
        priority : int
            Priority of the new call; 0 is the most urgent.
        """
        start = priority + 1
        return self.unread - sum(self.unread_by_priority[start:])

    def has_any(self) -> bool:
        """Return whether any figure is not 0."""
        figures = (self.calls, self.unread, self.memory, self.long_answers)
        return any(figures) or any(self.unread_by_priority)

    def add(self, other: 'ServerLoad', sign: int = 1) -> 'ServerLoad':
        """Return the sum with ``other``, or the difference.

        Parameters
        ----------
        other : ServerLoad
            Load to add or to subtract.
        sign : int, optional
            1 to add, -1 to subtract.
        """
        return ServerLoad(
            self.calls + sign * other.calls,
            self.unread + sign * other.unread,
            self.memory + sign * other.memory,
            _add_levels(
                self.unread_by_priority, other.unread_by_priority, sign
            ),
            self.long_answers + sign * other.long_answers,
        )


def build_prompt_load(
    unread: int,
    memory: int,
    priority: int,
    *,
    is_long: bool = False,
) -> ServerLoad:
    """Return the load of one call on an engine.

    Parameters
    ----------
    unread, memory : int
        Tokens to prefill, and tokens that the call holds in memory.
    priority : int
        Priority of the call; 0 is the most urgent.
    is_long : bool, optional
        Whether it counts among `ServerLoad.long_answers`.
    """
    own = min(priority, LEAST_URGENT)
    levels = tuple(
        unread if level == own else 0 for level in range(LEAST_URGENT + 1)
    )
    return ServerLoad(1, unread, memory, levels, int(is_long))


def _add_levels(
    levels: tuple[int, ...],
    added: tuple[int, ...],
    sign: int,
) -> tuple[int, ...]:
    if not added:
        return levels
    change = add if sign > 0 else sub
    if len(levels) == len(added):
        return tuple(map(change, levels, added))
    # Gateways of another build may tell another number of levels apart.
    pairs = zip_longest(levels, added, fillvalue=0)
    return tuple(starmap(change, pairs))


NO_LOAD = ServerLoad()
