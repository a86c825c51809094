"""Membership of a fleet, spread among its members by SWIM.

Each member probes one member of its region at a time. Probes and their answers
carry the records that changed recently and digests of the records by region.
"""

from baobabhinge_coordination.membership.messages import Contact as Contact
from baobabhinge_coordination.membership.messages import Exchange as Exchange
from baobabhinge_coordination.membership.messages import Member as Member
from baobabhinge_coordination.membership.messages import (
    MembershipTiming as MembershipTiming,
)
from baobabhinge_coordination.membership.messages import (
    MemberState as MemberState,
)
from baobabhinge_coordination.membership.neighbours import (
    list_neighbours as list_neighbours,
)
from baobabhinge_coordination.membership.prober import (
    MemberUnreachableError as MemberUnreachableError,
)
from baobabhinge_coordination.membership.prober import Prober as Prober
from baobabhinge_coordination.membership.prober import Transport as Transport
from baobabhinge_coordination.membership.prober import (
    list_peers as list_peers,
)
from baobabhinge_coordination.membership.protocol import (
    MembershipProtocol as MembershipProtocol,
)
from baobabhinge_coordination.membership.protocol import (
    PayloadHandler as PayloadHandler,
)
from baobabhinge_coordination.membership.scaling import (
    choose_local_interval as choose_local_interval,
)
from baobabhinge_coordination.membership.view import (
    MembershipView as MembershipView,
)
