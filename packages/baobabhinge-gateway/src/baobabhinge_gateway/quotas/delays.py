"""Delays of messages, by the clocks of their senders."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.neighbours import SectionSender

# Clocks of two machines differ by less than this part of the time that passes.
DRIFT = 0.001


class Shift(msgspec.Struct, frozen=True):
    """Smallest difference between the own clock and that of a process.

    Parameters
    ----------
    incarnation : str
        The process.
    difference : timedelta
        The difference, with the delay of the fastest message.
    measured : timedelta
        Monotonic time at which it was measured.
    """

    incarnation: str
    difference: timedelta
    measured: timedelta


class DelayMeter:
    """Find out how much later than the fastest ones messages arrive."""

    __slots__ = ('_shifts',)

    def __init__(self) -> None:
        """Start without messages."""
        self._shifts: dict[str, Shift] = {}

    def measure(
        self, sender: SectionSender, sent: timedelta, now: timedelta
    ) -> timedelta:
        """Return the delay of a message beyond that of the fastest.

        Parameters
        ----------
        sender : SectionSender
            Process that sent it.
        sent : timedelta
            Time at which it did, by its own clock.
        now : timedelta
            Monotonic time.
        """
        difference = now - sent
        smallest = difference
        shift = self._shifts.get(sender.name)
        if shift is not None and shift.incarnation == sender.incarnation:
            drift = (now - shift.measured) * DRIFT
            smallest = min(difference, shift.difference + drift)
        self._shifts[sender.name] = Shift(sender.incarnation, smallest, now)
        return difference - smallest
