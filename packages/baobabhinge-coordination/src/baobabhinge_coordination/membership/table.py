"""Known members by name, with a digest for each region."""

from collections import defaultdict
from collections.abc import Sequence
from datetime import timedelta

import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership.messages import Member


class MemberTable:
    """Newest record of each member.

    Parameters
    ----------
    clock : Clock
        Monotonic clock that dates the changes.

    Attributes
    ----------
    digests : dict of str to int
        Digest of the records of each region, dead members left out; 0 for
        a region without records.
    """

    __slots__ = ('_change_times', '_clock', '_members', 'digests')

    def __init__(self, clock: Clock) -> None:
        """Start without members."""
        self._clock = clock
        self._members: dict[str, dict[str, Member]] = defaultdict(dict)
        self._change_times: dict[str, timedelta] = {}
        self.digests: dict[str, int] = defaultdict(int)

    def put(self, member: Member) -> bool:
        """Store ``member`` if newer than its record; return whether stored."""
        known = self.find(member.name, member.region)
        if known is not None and not member.supersedes(known):
            return False
        if known is not None:
            self.digests[known.region] ^= compute_digest(known)
        self._members[member.region][member.name] = member
        self._change_times[member.name] = self._clock.read_monotonic()
        self.digests[member.region] ^= compute_digest(member)
        return True

    def find(self, name: str, region: str) -> Member | None:
        """Return the record of a member, or ``None`` if it is unknown."""
        return self._members[region].get(name)

    def list_members(self, region: str) -> Sequence[Member]:
        """Return the records of one region, including dead members."""
        return tuple(self._members[region].values())

    def list_regions(self) -> Sequence[str]:
        """Return the regions with at least one known member."""
        return [region for region, known in self._members.items() if known]

    def read_change_time(self, member: Member) -> timedelta:
        """Return the monotonic time of the latest change of ``member``."""
        return self._change_times[member.name]

    def remove(self, member: Member) -> None:
        """Remove the record of a dead member."""
        self._members[member.region].pop(member.name)
        self._change_times.pop(member.name)


def compute_digest(member: Member) -> int:
    """Return the contribution of ``member`` to the digest of its region.

    It is 0 for a dead member, as each member removes dead ones at its own
    time.
    """
    if member.is_dead:
        return 0
    state = int(member.state)
    text = f'{member.name}/{member.incarnation}/{member.version}/{state}'
    return xxhash.xxh3_64_intdigest(text.encode())
