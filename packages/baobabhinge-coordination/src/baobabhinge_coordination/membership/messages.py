"""Records of members, and what two members exchange."""

import enum
from datetime import timedelta

import msgspec


class MemberState(enum.IntEnum):
    """State of a member; at equal versions the higher one holds."""

    alive = 0
    draining = 1
    suspect = 2
    dead = 3


class Contact(msgspec.Struct, frozen=True):
    """Where a member may be reached.

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
    """What is known about one member.

    Parameters
    ----------
    name, region : str
        Name, unique in the fleet, and region.
    incarnation : str
        Random identifier of one start of the member.
    version : int
        Raised by the member itself with each change that it announces. A
        later start begins above the versions of earlier ones.
    state : MemberState
        State at this version.
    address : str
        ``host:port`` for other members of its region.
    labels : dict of str to str
        What the embedding program wants the others to know.
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
        """Return where this member may be reached."""
        return Contact(self.name, self.region, self.address)

    @property
    def is_dead(self) -> bool:
        """Tell whether the member is gone."""
        return self.state is MemberState.dead

    def supersedes(self, other: 'Member') -> bool:
        """Tell whether this record is newer than ``other``."""
        return (self.version, self.state) > (other.version, other.state)


class Exchange(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one member tells another, as a question or as its answer.

    Parameters
    ----------
    sender : Member
        Who sends it.
    updates : tuple of Member
        Records that changed lately, and those of the whole regions.
    whole : tuple of str
        Regions of which every record is among the updates.
    digests : dict of str to int
        Digest of the sender's records by region.
    payloads : dict of str to msgspec.Raw
        Parts of the embedding program by name, as JSON.
    """

    sender: Member
    updates: tuple[Member, ...] = ()
    whole: tuple[str, ...] = ()
    digests: dict[str, int] = {}
    payloads: dict[str, msgspec.Raw] = {}


class MembershipTiming(msgspec.Struct, frozen=True):
    """Periods of the protocol.

    Parameters
    ----------
    home_period, away_period : timedelta
        Time between two probes of a member of the own region while it is
        small, and of another region.
    probe_timeout : timedelta
        Longest wait for the answer to a probe.
    suspicion_timeout : timedelta
        Time that a suspected member of a small region has to refute.
    dead_retention : timedelta
        Time after which a dead member is forgotten.
    repair_interval : timedelta
        Shortest time between two answers that carry a whole region.
    """

    local_interval: timedelta = timedelta(seconds=1)
    remote_interval: timedelta = timedelta(seconds=5)
    probe_timeout: timedelta = timedelta(milliseconds=500)
    suspicion_timeout: timedelta = timedelta(seconds=3)
    dead_retention: timedelta = timedelta(minutes=10)
    repair_interval: timedelta = timedelta(seconds=5)
