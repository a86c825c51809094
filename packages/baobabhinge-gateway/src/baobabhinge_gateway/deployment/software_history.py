"""Versions of the software that the servers of a service have run lately."""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment.services import BackendServer

# Longest time for which a version is remembered after its last server is gone.
VERSION_RETENTION = timedelta(minutes=1)


class VersionAnnouncements:
    """Versions of which the platform's store was told by this gateway.

    Load pattern: all gateways end at once shortly after the servers of a new
    version have come. A stream that began there may not be taken for one of the
    only other version.

    Attributes
    ----------
    has_news : asyncio.Event
        Set when there is a version of which the store is to be told.
    """

    __slots__ = ('_told', 'has_news')

    def __init__(self) -> None:
        """Start with a store that knows nothing."""
        self._told: frozenset[tuple[str, str]] = frozenset()
        self.has_news = asyncio.Event()

    async def wait_for_news(self, longest: timedelta) -> None:
        """Wait until there are news, or for ``longest``."""
        with suppress(TimeoutError):
            async with asyncio.timeout(longest.total_seconds()):
                await self.has_news.wait()

    def record_told(self, versions: Iterable[tuple[str, str]]) -> None:
        """Record the services and versions that the store now keeps."""
        self._told = frozenset(versions)

    def record_listed(self, server: BackendServer) -> None:
        """Record that a server is listed, whose version may be new."""
        if not self.is_told(server):
            self.has_news.set()

    def is_told(self, server: BackendServer) -> bool:
        """Return whether the store was told of the version of ``server``."""
        return (server.service, server.software) in self._told


class SoftwareHistory:
    """Latest time at which a server of each version was listed.

    Parameters
    ----------
    clock : Clock
        Clock of the listings.

    Attributes
    ----------
    since : timedelta
        Time from which all versions are known.
    announcements : VersionAnnouncements
        Versions that outlast this process.
    """

    __slots__ = (
        '_clock',
        '_gone',
        '_has_list',
        '_started',
        'announcements',
        'since',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without a list."""
        self._clock = clock
        self._gone: dict[tuple[str, str], timedelta] = {}
        self._has_list = False
        self._started = clock.read_monotonic()
        self.since = self._started
        self.announcements = VersionAnnouncements()

    def record_list(self) -> None:
        """Record that a complete list of the servers was applied."""
        if not self._has_list:
            self._has_list = True
            self.announcements.has_news.set()
            self.since = min(self.since, self._clock.read_monotonic())

    def inherit(
        self, versions: Iterable[tuple[str, str]], span: timedelta
    ) -> None:
        """Add what another process knew when it wrote its entry.

        A process that has run for longer than `VERSION_RETENTION` knows more by
        itself, and leaves it out: two processes would otherwise remind each
        other of a version for ever.

        Parameters
        ----------
        versions : iterable of tuple of str
            Services and versions that it had listed lately.
        span : timedelta
            Time for which it had known all versions.
        """
        now = self._clock.read_monotonic()
        if now - self._started > VERSION_RETENTION:
            return
        self._gone.update(dict.fromkeys(versions, now))
        self.since = min(self.since, now - span)

    def record_gone(self, server: BackendServer) -> None:
        """Record that a server, or its version, is listed no longer."""
        now = self._clock.read_monotonic()
        self._gone[(server.service, server.software)] = now
        self._gone = {
            version: instant
            for version, instant in self._gone.items()
            if now - instant <= VERSION_RETENTION
        }

    def list_gone(self, within: timedelta) -> frozenset[tuple[str, str]]:
        """Return services and versions whose servers went ``within`` a time."""
        oldest = self._clock.read_monotonic() - within
        return frozenset(
            version
            for version, instant in self._gone.items()
            if instant >= oldest
        )

    def measure_span(self) -> timedelta:
        """Return for how long all versions are known."""
        return self._clock.read_monotonic() - self.since

    def is_known_for(self, span: timedelta) -> bool:
        """Return whether all versions of the latest ``span`` are known."""
        if not self._has_list or span > VERSION_RETENTION:
            return False
        return self._clock.read_monotonic() - self.since >= span
