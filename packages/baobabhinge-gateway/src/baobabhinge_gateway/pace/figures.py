"""Sums of what gateways observe of a server, which can be added up."""

from collections.abc import Mapping
from datetime import timedelta
from math import log

import msgspec

MILLISECOND = timedelta(milliseconds=1)
# Observations count half after this time: a server that changes its speed is
# known within tens of seconds.
HALF_LIFE = timedelta(seconds=15)


class Figures(msgspec.Struct, array_like=True, frozen=True):
    """Weighted sums over the calls to one server.

    Times are the natural logarithms of observed by expected times, so that one
    call that takes very long counts little. Sums of several gateways are added.

    Parameters
    ----------
    events, events_weight : float
        Sum for the time between two events, and of its weights.
    first, first_weight : float
        Sum for the time to the first event, or of a whole plain call.
    work : float
        Work that the server got, in milliseconds of a server of usual speed.
    prefill : float
        Part of it that is prefilling of prompts, which delays running calls.
    """

    events: float = 0
    events_weight: float = 0
    first: float = 0
    first_weight: float = 0
    work: float = 0
    prefill: float = 0

    @property
    def weight(self) -> float:
        """Weight of all observed times."""
        return self.events_weight + self.first_weight

    @property
    def prefill_share(self) -> float:
        """Part of the time in which a server of usual speed prefills."""
        return self.prefill * MILLISECOND * log(2) / HALF_LIFE

    def add(self, other: 'Figures') -> 'Figures':
        """Return the sum with ``other``."""
        return Figures(
            self.events + other.events,
            self.events_weight + other.events_weight,
            self.first + other.first,
            self.first_weight + other.first_weight,
            self.work + other.work,
            self.prefill + other.prefill,
        )

    def age(self, elapsed: timedelta) -> 'Figures':
        """Return what the figures count after ``elapsed``."""
        left: float = 0.5 ** (elapsed / HALF_LIFE)
        return Figures(
            self.events * left,
            self.events_weight * left,
            self.first * left,
            self.first_weight * left,
            self.work * left,
            self.prefill * left,
        )


NO_FIGURES = Figures()
# By service and server.
ServiceFigures = Mapping[str, Mapping[str, Figures]]
