"""Records of members, and the messages that two members exchange."""

import enum
from datetime import timedelta

import msgspec


class MemberState(enum.IntEnum):
    """State of a member; at equal versions the higher one supersedes."""

    alive = 0
    draining = 1
    suspect = 2
    dead = 3


class Contact(msgspec.Struct, frozen=True):
    """Address at which a member may be reached.

    Parameters
    ----------
    name : str
        Name of the member; empty when only the address is known.
    region : str
        Region of the member.
    address : str
        ``host:port``; empty when the transport has to look it up.
    """

    name: str
    region: str
    address: str = ''


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Record of one member.

    Parameters
    ----------
    name, region : str
        Name, unique in the fleet, and region.
    incarnation : str
        Random identifier of one start of the member.
    version : int
        Raised by the member itself with each change that it announces. A
        restarted member begins above the versions of its earlier starts.
    state : MemberState
        State at this version.
    address : str
        ``host:port`` for other members of its region.
    labels : dict of str to str
        Attributes that the embedding program adds for the other members.
    """

    name: str
    region: str
    incarnation: str
    version: int
    state: MemberState = MemberState.alive
    address: str = ''
    labels: dict[str, str] = {}

    @property
    def contact(self) -> Contact:
        """Name, region and address of this member."""
        return Contact(self.name, self.region, self.address)

    @property
    def is_dead(self) -> bool:
        """Whether the member was declared dead."""
        return self.state is MemberState.dead

    def supersedes(self, other: 'Member') -> bool:
        """Return whether this record is newer than ``other``."""
        return (self.version, self.state) > (other.version, other.state)


class Exchange(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request that one member sends to another, or its answer.

    Parameters
    ----------
    sender : Member
        Record of the sending member.
    updates : tuple of Member
        Records that changed recently, and all records of the regions in
        ``whole``.
    whole : tuple of str
        Regions of which every record is in ``updates``.
    digests : dict of str to int
        Digest of the sender's records by region.
    payloads : dict of str to msgspec.Raw
        Payloads of the embedding program by name, as JSON.
    """

    sender: Member
    updates: tuple[Member, ...] = ()
    whole: tuple[str, ...] = ()
    digests: dict[str, int] = {}
    payloads: dict[str, msgspec.Raw] = {}


class MembershipTiming(msgspec.Struct, frozen=True):
    """Intervals and timeouts of the protocol.

    Parameters
    ----------
    local_interval, remote_interval : timedelta
        Time between two probes inside the local region while it is small, and
        between two probes of other regions.
    probe_timeout : timedelta
        Bound on the wait for the answer to a probe.
    suspicion_timeout : timedelta
        Time in which a suspected member of a small region can refute.
    dead_retention : timedelta
        Time after which the record of a dead member is removed.
    repair_interval : timedelta
        Shortest time between two answers that carry every record of a
        region.
    """

    local_interval: timedelta = timedelta(seconds=1)
    remote_interval: timedelta = timedelta(seconds=5)
    probe_timeout: timedelta = timedelta(milliseconds=500)
    suspicion_timeout: timedelta = timedelta(seconds=3)
    dead_retention: timedelta = timedelta(minutes=10)
    repair_interval: timedelta = timedelta(seconds=5)
