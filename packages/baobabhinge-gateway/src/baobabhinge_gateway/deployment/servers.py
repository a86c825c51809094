"""Backend servers that are listed in the platform's store."""

from collections.abc import Sequence
from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment.removals import RemovalTable
from baobabhinge_gateway.deployment.services import BackendServer
from baobabhinge_gateway.deployment.software_history import SoftwareHistory

# Entries that expire in a store outage are registered again within 2 s of
# its end.
EXPIRED_ENTRY_RETENTION = timedelta(milliseconds=2500)

log = structlog.get_logger(__name__)


class ServerCatalogue:
    """Listed backend servers.

    Parameters
    ----------
    clock : Clock
        Clock for the retention of removed entries.

    Attributes
    ----------
    history : SoftwareHistory
        Versions whose servers are listed no longer.
    removals : RemovalTable
        Servers whose entries are gone, and for how much longer they are kept.

    Notes
    -----
    An entry that is removed during or soon after a failure of the store is kept
    for `EXPIRED_ENTRY_RETENTION`, as the store may have dropped it by mistake.
    """

    __slots__ = (
        '_clock',
        '_servers',
        '_stable_from',
        'history',
        'removals',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without servers and without a recorded store failure."""
        self._clock = clock
        self.history = SoftwareHistory(clock)
        self._servers: dict[str, BackendServer] = {}
        self.removals = RemovalTable(clock)
        self._stable_from = clock.read_monotonic()

    def put(self, server: BackendServer) -> bool:
        """Add or replace a server; return whether it is new or changed."""
        self.removals.cancel(server.name)
        known = self._servers.get(server.name)
        if known == server:
            return False
        if known is not None and known.software != server.software:
            self.history.record_gone(known)
        log.info(
            'backend-server-listed',
            server=server.name,
            service=server.service,
            software=server.software,
            is_leaving=server.is_leaving,
            cold_ms=server.cold_for // timedelta(milliseconds=1),
        )
        self._servers[server.name] = server
        self.history.announcements.record_listed(server)
        return True

    def remove(self, name: str) -> None:
        """Remove a server, after the retention time if the store failed."""
        server = self._servers.get(name)
        if server is None:
            return
        delay = timedelta() if self.is_store_stable else EXPIRED_ENTRY_RETENTION
        self.removals.begin(name, delay, is_announced=server.is_leaving)
        if delay:
            log.info('backend-server-lapsing', server=name)

    @property
    def is_store_stable(self) -> bool:
        """Whether no store failure was recorded in the retention time."""
        return self._clock.read_monotonic() >= self._stable_from

    def record_store_failure(self) -> None:
        """Record that the store fails, so entries may expire by mistake."""
        now = self._clock.read_monotonic()
        self._stable_from = now + EXPIRED_ENTRY_RETENTION

    def list_usable(self, service: str) -> Sequence[BackendServer]:
        """Return the servers of ``service`` that are not leaving."""
        return [
            server
            for server in self.list_all()
            if server.service == service and not server.is_leaving
        ]

    def list_all(self) -> Sequence[BackendServer]:
        """Return every listed server, without those whose retention ended."""
        for name in self.removals.pop_due():
            gone = self._servers.pop(name, None)
            if gone is not None:
                self.history.record_gone(gone)
            log.info('backend-server-gone', server=name)
        return list(self._servers.values())


def may_begin_stream(catalogue: ServerCatalogue, server: BackendServer) -> bool:
    """Return whether a stream may begin at ``server`` that may be taken up.

    The store has to know its version first, in case all gateways end. Without
    the store, none is new.
    """
    is_told = catalogue.history.announcements.is_told(server)
    return is_told or not catalogue.is_store_stable


def find_sole_software(
    catalogue: ServerCatalogue, service: str, within: timedelta
) -> str | None:
    """Return the only version that servers of a service have run lately.

    ``None`` if there were several, or if some of them may not be known.

    Parameters
    ----------
    catalogue : ServerCatalogue
        Listed servers.
    service : str
        Name of the service.
    within : timedelta
        Longest time since a server of the version was listed.
    """
    # Without the store, other gateways may list servers that this one does not.
    is_current = catalogue.is_store_stable
    if not is_current or not catalogue.history.is_known_for(within):
        return None
    versions = {
        software
        for name, software in list_recent_software(catalogue, within)
        if name == service
    }
    return versions.pop() if len(versions) == 1 else None


def has_several_software(
    catalogue: ServerCatalogue, service: str, within: timedelta
) -> bool:
    """Return whether servers of a service have run several versions lately.

    Parameters
    ----------
    catalogue : ServerCatalogue
        Listed servers.
    service : str
        Name of the service.
    within : timedelta
        Longest time since a server of a version was listed.
    """
    recent = list_recent_software(catalogue, within)
    return len([name for name, _software in recent if name == service]) > 1


def list_recent_software(
    catalogue: ServerCatalogue, within: timedelta
) -> frozenset[tuple[str, str]]:
    """Return services and versions of servers that were listed lately.

    Parameters
    ----------
    catalogue : ServerCatalogue
        Listed servers.
    within : timedelta
        Longest time since a server of the version was listed.
    """
    listed = {
        (server.service, server.software) for server in catalogue.list_all()
    }
    return catalogue.history.list_gone(within) | listed


def is_serving(
    catalogue: ServerCatalogue, name: str, notice: timedelta
) -> bool:
    """Return whether a server is not expected to end now.

    It is not if it is listed and has not announced its end, or if its entry is
    gone since less than ``notice``: the entry of a server that has crashed may
    go first.

    Parameters
    ----------
    catalogue : ServerCatalogue
        Listed servers.
    name : str
        Name of the server.
    notice : timedelta
        Time for which a server serves on at least after its entry is gone.
    """
    age = catalogue.removals.compute_age(name)
    if age is not None:
        return age < notice
    return any(
        server.name == name and not server.is_leaving
        for server in catalogue.list_all()
    )
