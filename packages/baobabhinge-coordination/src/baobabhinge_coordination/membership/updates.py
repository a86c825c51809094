"""Queue of changed records, each sent a bounded number of times."""

from collections.abc import Sequence

from baobabhinge_coordination.membership.messages import Member

MAX_UPDATES_PER_MESSAGE = 8
SENDS_PER_DOUBLING = 2


class UpdateQueue:
    """Changed records to send; those sent least often go first."""

    __slots__ = ('_send_counts', '_updates')

    def __init__(self) -> None:
        """Start without records."""
        self._updates: dict[str, Member] = {}
        self._send_counts: dict[str, int] = {}

    def push(self, member: Member) -> None:
        """Add a changed record, replacing an earlier one of its member."""
        self._updates[member.name] = member
        self._send_counts[member.name] = 0

    def select(self, member_count: int) -> Sequence[Member]:
        """Return the records for one message and count them as sent.

        Parameters
        ----------
        member_count : int
            Number of members that the records have to reach. A record is
            dropped once it was sent more than ``SENDS_PER_DOUBLING`` times for
            each doubling up to this number.
        """
        names = sorted(self._updates, key=self._send_counts.__getitem__)[
            :MAX_UPDATES_PER_MESSAGE
        ]
        selected = [self._updates[name] for name in names]
        for name in names:
            self._count_send(name, member_count.bit_length())
        return selected

    def _count_send(self, name: str, doublings: int) -> None:
        self._send_counts[name] += 1
        if self._send_counts[name] > SENDS_PER_DOUBLING * doublings:
            self._updates.pop(name)
            self._send_counts.pop(name)
