"""Figures of all servers, observed by this gateway or reported by others."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.pace.figures import Figures, ServiceFigures
from baobabhinge_gateway.pace.own_figures import OwnFigures

# Several reports of a gateway; they are sent about once a second.
REPORT_MAX_AGE = timedelta(seconds=5)


class _Report(msgspec.Struct, frozen=True):
    received: timedelta
    region: str
    figures: ServiceFigures


class ReportedFigures:
    """Latest report of each gateway.

    Parameters
    ----------
    clock : Clock
        Timestamps the reports.
    """

    __slots__ = ('_clock', '_reports')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, _Report] = {}

    def record(
        self, gateway: str, region: str, figures: ServiceFigures
    ) -> None:
        """Record the figures of another gateway, which replace earlier ones.

        Parameters
        ----------
        gateway, region : str
            Name of the gateway, and its region.
        figures : mapping
            Figures by service and server.
        """
        now = self._clock.read_monotonic()
        self._reports[gateway] = _Report(now, region, figures)

    def read(self, region: str | None = None) -> Iterable[ServiceFigures]:
        """Return the valid reports, of one region or of all."""
        oldest = self._clock.read_monotonic() - REPORT_MAX_AGE
        for gateway, report in tuple(self._reports.items()):
            if report.received < oldest:
                self._reports.pop(gateway)
        valid = self._reports.values()
        return [one.figures for one in valid if region in {None, one.region}]


class FigureTables:
    """Figures of this gateway, and those that others report.

    Parameters
    ----------
    clock : Clock
        Clock of the observations.

    Attributes
    ----------
    own : OwnFigures
        Figures of the calls of this gateway.
    reported : ReportedFigures
        Reports of other gateways.
    """

    __slots__ = ('own', 'reported')

    def __init__(self, clock: Clock) -> None:
        """Start without figures."""
        self.own = OwnFigures(clock)
        self.reported = ReportedFigures(clock)

    def sum_all(self, region: str | None = None) -> ServiceFigures:
        """Return the sums over this gateway and others.

        Parameters
        ----------
        region : str, optional
            Region of the other gateways; all regions if it is left out.
        """
        self.own.drop_expired()
        return sum_figures([self.own.read(), *self.reported.read(region)])


def sum_figures(reports: Iterable[ServiceFigures]) -> ServiceFigures:
    """Return the sums over several reports."""
    sums: defaultdict[str, dict[str, Figures]] = defaultdict(dict)
    for report in reports:
        for service, servers in report.items():
            _add_all(sums[service], servers)
    return sums


def _add_all(
    totals: dict[str, Figures], servers: Mapping[str, Figures]
) -> None:
    for server, figures in servers.items():
        known = totals.get(server)
        totals[server] = known.add(figures) if known else figures
