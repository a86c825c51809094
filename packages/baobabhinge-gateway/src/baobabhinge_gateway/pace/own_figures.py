"""Figures of the calls of this gateway."""

from collections import defaultdict
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.pace.figures import (
    NO_FIGURES,
    Figures,
    ServiceFigures,
)

# Below this weight, an observation says nothing any more.
MIN_WEIGHT = 0.01


class _Dated(msgspec.Struct, frozen=True):
    figures: Figures
    updated: timedelta

    def age(self, now: timedelta) -> Figures:
        """Return what the figures count now."""
        return self.figures.age(now - self.updated)


class OwnFigures:
    """Figures of the calls of this gateway, by service and server.

    Parameters
    ----------
    clock : Clock
        Clock by which observations are forgotten.
    """

    __slots__ = ('_clock', '_dated')

    def __init__(self, clock: Clock) -> None:
        """Start without observations."""
        self._clock = clock
        self._dated: defaultdict[str, dict[str, _Dated]] = defaultdict(dict)

    def record(self, service: str, server: str, figures: Figures) -> None:
        """Add the figures of one call."""
        now = self._clock.read_monotonic()
        servers = self._dated[service]
        known = servers.get(server, _Dated(NO_FIGURES, now))
        servers[server] = _Dated(known.age(now).add(figures), now)

    def read(self) -> ServiceFigures:
        """Return the present figures, without those that count nothing."""
        now = self._clock.read_monotonic()
        return {
            service: _age_all(servers, now)
            for service, servers in self._dated.items()
        }

    def drop_expired(self) -> None:
        """Forget servers whose observations count nothing any more."""
        current = self.read()
        for service, servers in self._dated.items():
            for server in servers.keys() - current[service].keys():
                servers.pop(server)


def _age_all(
    servers: Mapping[str, _Dated], now: timedelta
) -> Mapping[str, Figures]:
    aged = {server: dated.age(now) for server, dated in servers.items()}
    return {
        server: figures
        for server, figures in aged.items()
        if figures.weight >= MIN_WEIGHT or figures.work >= 1
    }
