"""Records that changed lately, to be passed on a bounded number of times."""

from collections.abc import Sequence

from baobabhinge_coordination.membership.messages import Member

MAX_UPDATES = 8
REPEATS_PER_DOUBLING = 2


class UpdateQueue:
    """Changed records; those sent least often go first."""

    __slots__ = ('_sent', '_updates')

    def __init__(self) -> None:
        """Start empty."""
        self._updates: dict[str, Member] = {}
        self._sent: dict[str, int] = {}

    def push(self, member: Member) -> None:
        """Add a changed record in place of an earlier one of its member."""
        self._updates[member.name] = member
        self._sent[member.name] = 0

    def select(self, member_count: int) -> Sequence[Member]:
        """Return the records for one message and count them as sent.

        Parameters
        ----------
        member_count : int
            Number of members among which the records spread. A record is
            dropped once it was sent twice for each doubling of this number.
        """
        names = sorted(self._updates, key=self._sent.__getitem__)[:MAX_UPDATES]
        taken = [self._updates[name] for name in names]
        for name in names:
            self._count(name, member_count.bit_length())
        return taken

    def _count(self, name: str, doublings: int) -> None:
        self._sent[name] += 1
        if self._sent[name] > REPEATS_PER_DOUBLING * doublings:
            self._updates.pop(name)
            self._sent.pop(name)
