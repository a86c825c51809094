"""The configuration in force, which is never replaced by an older one."""

from collections.abc import Sequence

import structlog

from baobabhinge_gateway.deployment.removed_keys import RemovedKeys
from baobabhinge_gateway.deployment.revision import Revision
from baobabhinge_gateway.deployment.table import RouteTable
from baobabhinge_gateway.deployment.workspaces import WorkspaceTable

log = structlog.get_logger(__name__)


class DeploymentConfiguration:
    """Newest configuration that this process has received.

    Attributes
    ----------
    revision : Revision or None
        Configuration in force, ``None`` before the first one.
    table : RouteTable
        Routes of `revision`.
    workspaces : WorkspaceTable
        Workspaces of `revision`.
    removed_keys : RemovedKeys
        Keys of workspaces that are in force no longer.
    evacuated : frozenset of str
        Failure domains whose backend servers get no calls.
    rejected : int
        Store revision of the latest entry that was not put in force; 0 if
        none was.
    """

    __slots__ = (
        '_is_original',
        'evacuated',
        'rejected',
        'removed_keys',
        'revision',
        'table',
        'workspaces',
    )

    def __init__(self) -> None:
        """Start without a configuration and without evacuations."""
        self.revision: Revision | None = None
        self.table = RouteTable(())
        self.workspaces = WorkspaceTable(())
        self.removed_keys = RemovedKeys()
        self.rejected = 0
        self._is_original = False
        self.evacuated: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Version in force, 0 before the first configuration."""
        return self.revision.version if self.revision else 0

    def list_allowed_regions(
        self, host: str, regions: Sequence[str]
    ) -> Sequence[str]:
        """Return the regions in which every route of ``host`` may be served."""
        routes = self.revision.routes if self.revision else ()
        of_host = [route for route in routes if route.host == host]
        return [
            region
            for region in regions
            if all(route.allows(region) for route in of_host)
        ]

    def adopt(self, revision: Revision, *, is_original: bool = False) -> bool:
        """Put ``revision`` in force if it is newer; return whether it is.

        Parameters
        ----------
        revision : Revision
            The configuration.
        is_original : bool, optional
            Whether it was read from the store. Such a one replaces the same
            version of another gateway, whose build may not know all fields.
        """
        if not self._is_newer(revision, is_original=is_original):
            return False
        log.info(
            'configuration-in-force',
            version=revision.version,
            replaced=self.version,
            routes=len(revision.routes),
            workspaces=len(revision.workspaces),
        )
        workspaces = WorkspaceTable(revision.workspaces)
        self.removed_keys.replace(
            self.workspaces.list_keys(),
            workspaces.list_keys(),
            revision.version,
        )
        self.revision = revision
        self.table = RouteTable(revision.routes)
        self.workspaces = workspaces
        self._is_original = is_original
        return True

    def reject(self, store_revision: int, reason: str) -> None:
        """Keep what is in force though the store has another entry.

        It is logged once for each revision of the entry.
        """
        if store_revision == self.rejected:
            return
        self.rejected = store_revision
        log.error(
            'configuration-unreadable',
            reason=reason,
            store_revision=store_revision,
            kept=self.version,
        )

    def evacuate(self, domains: frozenset[str]) -> None:
        """Replace the set of failure domains that get no calls."""
        if domains != self.evacuated:
            log.info(
                'evacuations-changed',
                domains=sorted(domains),
                before=sorted(self.evacuated),
            )
            self.evacuated = domains

    def _is_newer(self, revision: Revision, *, is_original: bool) -> bool:
        if revision.version != self.version or not is_original:
            return revision.version > self.version
        return not self._is_original and revision != self.revision
