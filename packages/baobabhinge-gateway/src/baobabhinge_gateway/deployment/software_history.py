"""Versions of the software that the servers of a service have run lately."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment.services import BackendServer

# Longest time for which a version is remembered after its last server is gone.
VERSION_RETENTION = timedelta(minutes=1)


class SoftwareHistory:
    """Latest time at which a server of each version was listed.

    Parameters
    ----------
    clock : Clock
        Clock of the listings.

    Attributes
    ----------
    since : timedelta or None
        When the first complete list was applied; ``None`` before.
    """

    __slots__ = ('_clock', '_gone', 'since')

    def __init__(self, clock: Clock) -> None:
        """Start without a list."""
        self._clock = clock
        self._gone: dict[tuple[str, str], timedelta] = {}
        self.since: timedelta | None = None

    def record_list(self) -> None:
        """Record that a complete list of the servers was applied."""
        if self.since is None:
            self.since = self._clock.read_monotonic()

    def record_gone(self, server: BackendServer) -> None:
        """Record that a server, or its version, is listed no longer."""
        now = self._clock.read_monotonic()
        self._gone[(server.service, server.software)] = now
        self._gone = {
            version: instant
            for version, instant in self._gone.items()
            if now - instant <= VERSION_RETENTION
        }

    def list_gone(self, service: str, within: timedelta) -> frozenset[str]:
        """Return the versions of a service whose servers went lately.

        Parameters
        ----------
        service : str
            Name of the service.
        within : timedelta
            Longest time since then.
        """
        oldest = self._clock.read_monotonic() - within
        return frozenset(
            software
            for (name, software), instant in self._gone.items()
            if name == service and instant >= oldest
        )

    def is_known_for(self, span: timedelta) -> bool:
        """Return whether all versions of the latest ``span`` are known."""
        if self.since is None or span > VERSION_RETENTION:
            return False
        return self._clock.read_monotonic() - self.since >= span
