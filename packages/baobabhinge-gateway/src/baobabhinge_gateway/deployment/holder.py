"""The configuration in force; it never goes back to an older version."""

import structlog

from baobabhinge_gateway.deployment.revision import Revision
from baobabhinge_gateway.deployment.table import RouteTable

log = structlog.get_logger(__name__)


class ConfigurationHolder:
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
