"""Order in which members are probed."""

from collections.abc import Sequence
from random import Random

from baobabhinge_coordination.membership.messages import Member


class ProbeOrder:
    """Random order in which each member comes once in a round.

    Parameters
    ----------
    random : Random
        Generator that shuffles each round.
    """

    __slots__ = ('_pending', '_random')

    def __init__(self, random: Random) -> None:
        """Start with an empty round."""
        self._random = random
        self._pending: list[str] = []

    def pick(self, members: Sequence[Member]) -> Member | None:
        """Return the next of ``members``, or ``None`` if there are none."""
        by_name = {member.name: member for member in members}
        if not by_name:
            return None
        while self._pending:
            member = by_name.get(self._pending.pop())
            if member is not None:
                return member
        self._pending = list(by_name)
        self._random.shuffle(self._pending)
        return by_name[self._pending.pop()]
