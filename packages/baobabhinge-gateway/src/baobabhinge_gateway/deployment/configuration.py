"""The configuration in force; it never goes back to an older version."""

from collections.abc import Sequence

import structlog

from baobabhinge_gateway.deployment.revision import Revision
from baobabhinge_gateway.deployment.table import RouteTable

log = structlog.get_logger(__name__)


class ActiveConfiguration:
    """Newest configuration that this process has seen.

    Attributes
    ----------
    revision : Revision or None
        Set once a configuration is known.
    table : RouteTable
        Routes of `revision`.
    evacuated : frozenset of str
        Failure domains whose backend servers get nothing.
    """

    __slots__ = ('evacuated', 'revision', 'table')

    def __init__(self) -> None:
        """Know no configuration."""
        self.revision: Revision | None = None
        self.table = RouteTable(())
        self.evacuated: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Version in force, 0 if none is known."""
        return self.revision.version if self.revision else 0

    def list_allowed_regions(
        self, host: str, regions: Sequence[str]
    ) -> Sequence[str]:
        """Return the regions in which every route of ``host`` may be served."""
        routes = self.revision.routes if self.revision else ()
        bound = [route for route in routes if route.host == host]
        return [
            region
            for region in regions
            if all(route.allows(region) for route in bound)
        ]

    def adopt(self, revision: Revision) -> bool:
        """Put ``revision`` in force unless it is older than the present one."""
        if revision.version <= self.version:
            return False
        log.info(
            'configuration-in-force',
            version=revision.version,
            replaced=self.version,
            routes=len(revision.routes),
        )
        self.revision = revision
        self.table = RouteTable(revision.routes)
        return True

    def evacuate(self, domains: frozenset[str]) -> None:
        """Take the failure domains that are to get nothing."""
        if domains != self.evacuated:
            log.info(
                'evacuations-changed',
                domains=sorted(domains),
                before=sorted(self.evacuated),
            )
            self.evacuated = domains
