"""What backend servers say of themselves on their answers."""

from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.brittle_servers import BrittleServers
from baobabhinge_gateway.forwarding.server_departures import (
    DEFAULT_NOTICE,
    ServerDepartures,
)
from baobabhinge_gateway.forwarding.server_limits import ServerLimits
from baobabhinge_gateway.forwarding.server_pauses import NO_TIME, ServerPauses


class StatedLoad(msgspec.Struct, frozen=True):
    """Load that a server names on an answer.

    Parameters
    ----------
    running, waiting : int
        Calls that run and that wait at the server.
    slots : int
        Calls that it runs at once.
    pace : float or None
        Time that work takes now, relative to the usual; ``None`` if the server
        does not name it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class ServerStatement(msgspec.Struct, frozen=True):
    """What the head of one answer says of its server.

    Parameters
    ----------
    limit : float or None
        Calls per second that it takes from all gateways together; ``None`` if
        it names no limit.
    is_leaving : bool
        Whether it tells that it is leaving.
    pause : timedelta
        Time for which it wants no requests from this gateway.
    pause_end : datetime or None
        Instant until which it wants none, if it tells that.
    unreadable_limit, unreadable_pause : str
        Start of a limit or of a pause without a meaning, such as a negative
        number; it has no effect. Empty otherwise.
    refusals : float or None
        Calls that it turns away in a second without falling over; ``None`` if
        it does not say that it is brittle.
    unreadable_refusals : str
        Start of such a number without a meaning; it has no effect.
    load : StatedLoad or None
        Load that it names, if it can be read.
    """

    limit: float | None = None
    is_leaving: bool = False
    pause: timedelta = NO_TIME
    pause_end: datetime | None = None
    unreadable_limit: str = ''
    unreadable_pause: str = ''
    refusals: float | None = None
    unreadable_refusals: str = ''
    load: StatedLoad | None = None


LoadListener = Callable[[BackendServer, StatedLoad], None]


def ignore_load(_: BackendServer, _load: StatedLoad) -> None:
    """Do nothing with the load that a server names."""


class StatementTable:
    """Latest statements of all servers.

    Parameters
    ----------
    clock : Clock
        Clock of the statements.
    random : Random, optional
        Generator that spreads the ends of pauses.
    notice : timedelta, optional
        Time for which a server serves on after it has told of its end.

    Attributes
    ----------
    brittle : BrittleServers
        Services whose servers fall over when they turn calls away.
    clock : Clock
        Clock of the statements.
    limits : ServerLimits
        Limits that servers name.
    on_load : callable
        Called with each load that a server names.
    departures : ServerDepartures
        Servers that have told that they are leaving.
    pauses : ServerPauses
        Servers that want no requests for a while.
    """

    __slots__ = (
        'brittle',
        'clock',
        'departures',
        'limits',
        'on_load',
        'pauses',
    )

    def __init__(
        self,
        clock: Clock,
        random: Random | None = None,
        notice: timedelta = DEFAULT_NOTICE,
    ) -> None:
        """Start without statements."""
        self.brittle = BrittleServers(clock)
        self.clock = clock
        self.limits = ServerLimits(clock)
        self.departures = ServerDepartures(clock, notice)
        self.on_load: LoadListener = ignore_load
        self.pauses = ServerPauses(clock, random or Random())
