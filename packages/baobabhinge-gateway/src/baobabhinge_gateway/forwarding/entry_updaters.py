"""Changes of entries in the store, applied to the state in their order."""

from collections.abc import Mapping
from datetime import timedelta

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.key_revisions import (
    KeyRevisions,
    ListRevisions,
)

NO_RETENTION: Mapping[str, timedelta] = {}


class EvacuationUpdater:
    """Apply evacuations of failure domains.

    The servers of a domain whose evacuation ends may have become cold, so each
    has to pass a health check before it gets calls. Servers of other regions
    are checked by the gateways of those regions.

    Parameters
    ----------
    state : DeploymentState
        State to keep up to date.

    Attributes
    ----------
    revisions : KeyRevisions
        Revisions of the evacuations, by failure domain; the configuration,
        which has a version of its own, counts for the newest one.
    """

    __slots__ = ('_state', 'revisions')

    def __init__(self, state: DeploymentState) -> None:
        """Start without evacuations."""
        self._state = state
        self.revisions = KeyRevisions()

    def replace(
        self, domains: Mapping[str, int], revisions: ListRevisions
    ) -> None:
        """Evacuate these failure domains, and no others.

        Parameters
        ----------
        domains : mapping of str to int
            Store revisions of the evacuations, by failure domain.
        revisions : ListRevisions
            Revisions of the list.
        """
        self.revisions.replace(domains, revisions)
        self._apply()

    def begin(self, domain: str, store_revision: int) -> None:
        """Evacuate a failure domain."""
        if self.revisions.write(domain, store_revision):
            self._apply()

    def end(self, domain: str, store_revision: int) -> None:
        """End the evacuation of a failure domain."""
        if self.revisions.remove(domain, store_revision):
            self._apply()

    def record_configuration(self, store_revision: int) -> None:
        """Record that the configuration changed, whatever it says."""
        self.revisions.progress.note(store_revision)

    def _apply(self) -> None:
        state = self._state
        domains = self.revisions.present
        restored = state.configuration.evacuated - domains
        state.configuration.evacuate(domains)
        for server in state.catalogue.list_all():
            if server.failure_domain in restored and state.is_local(server):
                state.reliability.suspect(server.name, 'evacuation ended')


class ServerUpdater:
    """Apply changes of the listed backend servers.

    Parameters
    ----------
    state : DeploymentState
        State to keep up to date.

    Attributes
    ----------
    revisions : KeyRevisions
        Revisions of the servers, by name.
    """

    __slots__ = ('_state', 'revisions')

    def __init__(self, state: DeploymentState) -> None:
        """Start without servers."""
        self._state = state
        self.revisions = KeyRevisions()

    def replace(
        self,
        servers: Mapping[BackendServer, int],
        revisions: ListRevisions,
        lapsing: Mapping[str, timedelta] = NO_RETENTION,
    ) -> None:
        """Apply a complete list of backend servers.

        Parameters
        ----------
        servers : mapping of BackendServer to int
            Store revisions of the listed servers.
        revisions : ListRevisions
            Revisions of the list.
        lapsing : mapping of str to timedelta, optional
            For how much longer another gateway keeps servers that are listed
            no longer.
        """
        changes = self.revisions.replace(
            {server.name: servers[server] for server in servers}, revisions
        )
        if revisions.is_certain:
            self._state.catalogue.history.record_list()
        for name in changes.removed:
            self._remove(name)
        for name, left in lapsing.items():
            self.limit_removal(name, left)
        written = frozenset(changes.written)
        for server in servers:
            if server.name in written:
                self._put(server)

    def put(self, server: BackendServer, store_revision: int) -> None:
        """Add or update one backend server."""
        if self.revisions.write(server.name, store_revision):
            self._put(server)

    def remove(self, name: str, store_revision: int) -> None:
        """Remove a backend server whose entry is gone or malformed."""
        if self.revisions.remove(name, store_revision):
            self._remove(name)

    def limit_removal(self, name: str, left: timedelta) -> None:
        """Keep a server whose entry is gone for no longer than ``left``."""
        self._state.catalogue.removals.limit(name, left)

    def _put(self, server: BackendServer) -> None:
        if self._state.catalogue.put(server):
            self._state.warmup.record_cold(server.name, server.cold_for)

    def _remove(self, name: str) -> None:
        self._state.catalogue.remove(name)
        self._state.crashes.lost_runs.record_removal(name)
