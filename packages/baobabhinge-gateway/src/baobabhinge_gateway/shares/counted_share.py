"""Share of one call, whose work is counted."""

from baobabhinge_gateway.shares.call_share import CallShare
from baobabhinge_gateway.shares.sums import Work
from baobabhinge_gateway.shares.windows import WindowedSums

# Below this part of the longest wait, a call meets no queue to speak of.
LEAST_WAIT = 0.25


class CountedShare(CallShare):
    """Share of a call that is counted.

    Parameters
    ----------
    sums : WindowedSums
        Sums of its service.
    entries : tuple of int
        Entries to which its work is added.
    work : int
        Work in ms.

    Attributes
    ----------
    work : int
        Work in ms.
    """

    __slots__ = ('_entries', '_is_placed', '_strained', '_sums', 'work')

    def __init__(
        self, sums: WindowedSums, entries: tuple[int, ...], work: int
    ) -> None:
        """Start as one that has not been placed."""
        super().__init__()
        self._sums = sums
        self._entries = entries
        self._strained = 0
        self._is_placed = False
        self.work = work

    def record(self, work: Work) -> None:
        """Add work of the call to the sums."""
        self._sums.add(self._entries, work)

    def record_wait(self, fraction: float) -> None:
        """Record how long the call is to wait, as a fraction of the bound.

        Its work counts by the longest wait of all attempts.
        """
        strained = round(self.work * min(1, fraction))
        if fraction > LEAST_WAIT and strained > self._strained:
            self.record(Work(strained=strained - self._strained))
            self._strained = strained

    def record_placed(self) -> None:
        """Record that a server is to run the call; once for all attempts."""
        if not self._is_placed:
            self._is_placed = True
            self.record(Work(placed=self.work))
