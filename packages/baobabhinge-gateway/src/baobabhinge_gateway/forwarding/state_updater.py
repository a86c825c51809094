"""State that the store and other gateways bring up to date."""

from datetime import timedelta

import structlog

from baobabhinge_gateway.deployment import DeploymentConfiguration, Revision
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.entry_updaters import (
    EvacuationUpdater,
    ServerUpdater,
)
from baobabhinge_gateway.forwarding.key_revisions import has_to_read
from baobabhinge_gateway.forwarding.snapshot import StoreRevisions
from baobabhinge_gateway.forwarding.state_lag import StateLag

MILLISECOND = timedelta(milliseconds=1)
STORE = 'store'

log = structlog.get_logger(__name__)


class StateUpdater:
    """Apply configurations, evacuations and lists of backend servers.

    A change never takes the place of a newer one of the same entry.

    Parameters
    ----------
    state : DeploymentState
        State to keep up to date.

    Attributes
    ----------
    configuration : DeploymentConfiguration
        Configuration in force.
    is_store_reachable : bool
        Whether the latest request to the store was answered; set by its client.
    lag : StateLag
        Time since another gateway reported newer state.
    evacuations : EvacuationUpdater
        Applies evacuations.
    servers : ServerUpdater
        Applies changes of backend servers.
    """

    __slots__ = (
        '_state',
        'configuration',
        'evacuations',
        'is_store_reachable',
        'lag',
        'servers',
    )

    def __init__(self, state: DeploymentState) -> None:
        """Start at revision 0, with the store assumed to be reachable."""
        self._state = state
        self.configuration: DeploymentConfiguration = state.configuration
        self.is_store_reachable = True
        self.lag = StateLag(state.clock)
        self.evacuations = EvacuationUpdater(state)
        self.servers = ServerUpdater(state)

    @property
    def revisions(self) -> StoreRevisions:
        """Newest changes that were applied."""
        return StoreRevisions(
            self.evacuations.revisions.progress.told,
            self.servers.revisions.progress.told,
        )

    @property
    def known_to(self) -> StoreRevisions:
        """Revisions up to which other gateways have nothing to tell.

        If the store holds a configuration that was rejected, and none is in
        force here, other gateways may have the one before.
        """
        is_missing = (
            self.configuration.rejected and self.configuration.revision is None
        )
        operators = self.evacuations.revisions.progress.known_to
        return StoreRevisions(
            0 if is_missing else operators,
            self.servers.revisions.progress.known_to,
        )

    def record_marks(self, marks: StoreRevisions) -> None:
        """Record the newest changes that another gateway has applied."""
        self.lag.begin(marks, self.known_to)

    def complete(self, revisions: StoreRevisions) -> None:
        """Record that all changes up to these revisions were applied."""
        self.evacuations.revisions.complete(revisions.operators)
        self.servers.revisions.complete(revisions.servers)
        self.lag.end(self.known_to)

    def adopt(self, revision: Revision, source: str = STORE) -> None:
        """Put a configuration in force unless a newer one is.

        Parameters
        ----------
        revision : Revision
            The configuration.
        source : str, optional
            Where it was read, for the log.
        """
        is_original = source == STORE
        if self.configuration.adopt(revision, is_original=is_original):
            log.info(
                'configuration-applied',
                version=revision.version,
                source=source,
                behind_ms=self.lag.operators.compute() // MILLISECOND,
            )

    def record_store_failure(self) -> None:
        """Record a store failure, after which entries may expire wrongly."""
        self.is_store_reachable = False
        self._state.catalogue.record_store_failure()


def lacks_changes(updater: StateUpdater) -> bool:
    """Return whether only lists of the store show what is in force."""
    return any(
        has_to_read(entries.revisions.progress)
        for entries in (updater.evacuations, updater.servers)
    )
