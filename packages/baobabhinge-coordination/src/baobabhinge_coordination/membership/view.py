"""Records that one member holds of all members of the fleet.

References
----------
Das, Gupta and Motivala, "SWIM: Scalable weakly-consistent infection-style
process group membership protocol", 2002.
"""

from collections.abc import Sequence

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership.messages import (
    Member,
    MemberState,
)
from baobabhinge_coordination.membership.table import MemberTable
from baobabhinge_coordination.membership.updates import UpdateQueue


class MembershipView:
    """Records of all members, as one of them holds them.

    Only members of the local region are suspected here; records of members of
    other regions are applied as received.

    Parameters
    ----------
    own : Member
        Record of this member. Its version is raised if the fleet holds a
        record of an earlier start with a higher one.
    clock : Clock
        Monotonic clock that dates the changes.

    Attributes
    ----------
    own : Member
        Current record of this member.
    table : MemberTable
        Records of all members, this one included.
    """

    __slots__ = ('_updates', 'own', 'table')

    def __init__(
        self,
        own: Member,
        clock: Clock,
    ) -> None:
        """Start with the record of this member only."""
        self.own = own
        self.table = MemberTable(clock)
        self._updates = UpdateQueue()
        self.record(own)

    def announce(self, state: MemberState, version: int = 0) -> None:
        """Set the state of this member and queue its record for sending.

        Parameters
        ----------
        state : MemberState
            New state.
        version : int, optional
            Version that the new one has to exceed.
        """
        self.own = msgspec.structs.replace(
            self.own,
            version=max(version, self.own.version) + 1,
            state=state,
        )
        self.record(self.own)

    def merge(self, member: Member) -> None:
        """Apply a record that another member sent.

        The record of a dead member that is unknown here is ignored: otherwise
        members that have removed it would store it again, and it would never
        be removed from all of them.
        """
        if member.name == self.own.name:
            self._refute(member)
            return
        known = self.table.find(member.name, member.region)
        if known is not None or not member.is_dead:
            self.record(member)

    def suspect(self, name: str) -> None:
        """Suspect a member of the local region that did not answer."""
        member = self.table.find(name, self.own.region)
        if member is not None and member.state < MemberState.suspect:
            self.record(change_state(member, MemberState.suspect))

    def record(self, member: Member) -> None:
        """Store a record and queue it for sending if it is a newer one."""
        if self.table.put(member):
            self._updates.push(member)

    def select_updates(self) -> Sequence[Member]:
        """Return the records to send with the next message."""
        return self._updates.select(
            len(self.table.list_members(self.own.region))
        )

    def _refute(self, received: Member) -> None:
        is_same = received.incarnation == self.own.incarnation
        if is_same and received.state is self.own.state:
            return
        if received.version >= self.own.version:
            self.announce(self.own.state, received.version)


def change_state(member: Member, state: MemberState) -> Member:
    """Return the record of ``member`` with another state."""
    return msgspec.structs.replace(member, state=state)
