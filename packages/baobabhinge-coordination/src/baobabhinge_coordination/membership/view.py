"""What one member knows about the fleet, and how it answers others.

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
    """Records of all members, kept by one of them.

    Members of the own region are judged here; what other regions say about
    their own members is taken as it is.

    Parameters
    ----------
    own : Member
        Record of this member; its version is replaced if the fleet knows an
        earlier start under a higher one.
    clock : Clock
        Clock that dates the changes.

    Attributes
    ----------
    own : Member
        Present record of this member.
    table : MemberTable
        Records of all members, this one included.
    """

    __slots__ = ('_updates', 'own', 'table')

    def __init__(
        self,
        own: Member,
        clock: Clock,
    ) -> None:
        """Know this member alone."""
        self.own = own
        self.table = MemberTable(clock)
        self._updates = UpdateQueue()
        self.record(own)

    def announce(self, state: MemberState, version: int = 0) -> None:
        """Put this member in ``state`` and tell the others.

        Parameters
        ----------
        state : MemberState
            New state.
        version : int, optional
            Version that the new one has to be above.
        """
        self.own = msgspec.structs.replace(
            self.own,
            version=max(version, self.own.version) + 1,
            state=state,
        )
        self.record(self.own)

    def merge(self, member: Member) -> None:
        """Take in one record that another member sent.

        A dead member that is not known is not taken in: it would never be
        forgotten by all.
        """
        if member.name == self.own.name:
            self._refute(member)
            return
        known = self.table.find(member.name, member.region)
        if known is not None or not member.is_dead:
            self.record(member)

    def suspect(self, name: str) -> None:
        """Suspect a member of the own region that did not answer."""
        member = self.table.find(name, self.own.region)
        if member is not None and member.state < MemberState.suspect:
            self.record(change_state(member, MemberState.suspect))

    def record(self, member: Member) -> None:
        """Keep a record and pass it on if it is newer than the kept one."""
        if self.table.put(member):
            self._updates.push(member)

    def select_updates(self) -> Sequence[Member]:
        """Return the records to add to the next message."""
        return self._updates.select(
            len(self.table.list_members(self.own.region))
        )

    def _refute(self, told: Member) -> None:
        is_same = told.incarnation == self.own.incarnation
        if is_same and told.state is self.own.state:
            return
        if told.version >= self.own.version:
            self.announce(self.own.state, told.version)


def change_state(member: Member, state: MemberState) -> Member:
    """Return the record of ``member`` with another state."""
    return msgspec.structs.replace(member, state=state)
