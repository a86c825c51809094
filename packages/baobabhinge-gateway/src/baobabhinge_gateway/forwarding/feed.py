"""What the platform tells a gateway, taken into its knowledge."""

from collections.abc import Iterable

import structlog

from baobabhinge_gateway.deployment import BackendServer, Revision
from baobabhinge_gateway.deployment.servers import list_missing
from baobabhinge_gateway.forwarding.knowledge import Knowledge

log = structlog.get_logger(__name__)


class KnowledgeFeed:
    """Take configurations, evacuations and backend servers.

    Parameters
    ----------
    knowledge : Knowledge
        What is kept up to date.

    Attributes
    ----------
    has_servers : bool
        Whether a list of backend servers was taken.
    """

    __slots__ = ('_known', 'has_servers')

    def __init__(self, knowledge: Knowledge) -> None:
        """Have taken nothing."""
        self._known = knowledge
        self.has_servers = False

    def adopt(self, revision: Revision) -> None:
        """Put a configuration in force unless it is older."""
        self._known.holder.adopt(revision)

    def evacuate(self, domains: frozenset[str]) -> None:
        """Send nothing to these failure domains; take others back.

        The servers of a failure domain that is taken back may have become
        cold, so each must pass a health check first.
        """
        released = self._known.holder.evacuated - domains
        self._known.holder.evacuate(domains)
        for server in self._known.catalogue.list_all():
            if server.failure_domain in released:
                self._known.trust.suspect(server.name, 'evacuation ended')

    def list_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the whole list of backend servers."""
        listed = list(servers)
        known = self._known.catalogue.list_all()
        for name in list_missing(known, listed):
            self.remove_server(name)
        for server in listed:
            self.put_server(server)
        self.has_servers = True

    def put_server(self, server: BackendServer) -> None:
        """Take one new or changed backend server."""
        if self._known.catalogue.put(server):
            self._known.warmup.note_cold(server.name, server.cold_for)

    def remove_server(self, name: str) -> None:
        """Take the end of a backend server's entry."""
        self._known.catalogue.remove(name)

    def note_store_failure(self) -> None:
        """Note that the store fails, so that entries may lapse by mistake."""
        self._known.catalogue.note_unsteady()
