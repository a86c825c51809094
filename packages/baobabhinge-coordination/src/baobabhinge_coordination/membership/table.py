"""Known members by name, with a digest for each region."""

from collections import defaultdict
from collections.abc import Sequence
from datetime import timedelta

import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership.messages import Member


class MemberTable:
    """The newest record of each member.

    Parameters
    ----------
    clock : Clock
        Clock that dates the changes.

    Attributes
    ----------
    digests : dict of str to int
        Digest by region of the members that are not dead; 0 for none.
    """

    __slots__ = ('_clock', '_members', '_since', 'digests')

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._members: dict[str, dict[str, Member]] = defaultdict(dict)
        self._since: dict[str, timedelta] = {}
        self.digests: dict[str, int] = defaultdict(int)

    def put(self, member: Member) -> bool:
        """Keep ``member`` if it is newer than the kept record."""
        known = self.find(member.name, member.region)
        if known is not None and not member.supersedes(known):
            return False
        if known is not None:
            self.digests[known.region] ^= compute_digest(known)
        self._members[member.region][member.name] = member
        self._since[member.name] = self._clock.read_monotonic()
        self.digests[member.region] ^= compute_digest(member)
        return True

    def find(self, name: str, region: str) -> Member | None:
        """Return the record of a member, if there is one."""
        return self._members[region].get(name)

    def list_members(self, region: str) -> Sequence[Member]:
        """Return the records of one region, dead members too."""
        return tuple(self._members[region].values())

    def list_regions(self) -> Sequence[str]:
        """Return the regions of which a member is known."""
        return [region for region, known in self._members.items() if known]

    def read_change_time(self, member: Member) -> timedelta:
        """Return the monotonic time of the latest change of ``member``."""
        return self._since[member.name]

    def remove(self, member: Member) -> None:
        """Drop the record of a dead member."""
        self._members[member.region].pop(member.name)
        self._since.pop(member.name)


def compute_digest(member: Member) -> int:
    """Return the part of ``member`` in the digest of its region.

    Dead members have none: each member forgets them at its own time.
    """
    if member.is_dead:
        return 0
    state = int(member.state)
    text = f'{member.name}/{member.incarnation}/{member.version}/{state}'
    return xxhash.xxh3_64_intdigest(text.encode())
