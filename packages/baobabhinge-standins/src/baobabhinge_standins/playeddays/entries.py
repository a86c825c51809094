"""Entries of the journal, decoded."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

# A run whose reason begins so belongs to the policy named before the colon.
POLICY_MARK = 'policy '


class UnreadableEntryError(Exception):
    """A file of the journal is no entry."""


class Price(msgspec.Struct, array_like=True):
    """What one kind of cost takes off the worth of a day."""

    name: str
    amount: float
    # Not told of a day that was not played to its end.
    share: float | None


class Part(msgspec.Struct, array_like=True):
    """One part of the worth of a day, with its weight."""

    name: str
    weight: float
    share: float


class PlayedDay(msgspec.Struct):
    """One day.

    Parameters
    ----------
    worth : float
        Credit less prices, as a share of what was owed.
    score : float
        Where the worth lies between the marks of the day.
    served, refused, failed : float
        Shares of the calls.
    rules : dict of str to int
        Broken rules, and how often.
    parts : list of Part
        What the credit consists of.
    prices : list of Price
        What is taken off.
    """

    name: str
    worth: float = msgspec.field(name='G')
    score: float | None = None
    served: float = 0
    refused: float = 0
    failed: float = 0
    rules: dict[str, int] = {}
    parts: list[Part] = []
    prices: list[Price] = []

    def find_part(self, name: str) -> float:
        """Return the share of the part called ``name``, 0 if it lacks it."""
        return next(
            (part.share for part in self.parts if part.name == name),
            0,
        )

    def find_price(self, name: str) -> float:
        """Return what the cost called ``name`` takes off, 0 if it lacks it."""
        return next(
            (price.share or 0 for price in self.prices if price.name == name),
            0,
        )


class Entry(msgspec.Struct):
    """One run of the bench.

    Parameters
    ----------
    at : list of str
        Begin and end.
    why : str
        Reason that was given.
    """

    id: str
    at: list[str]
    cmd: str = ''
    why: str = ''
    site: str | None = None
    days: list[PlayedDay] = []

    @property
    def policy(self) -> str | None:
        """Policy that the reason names, if it names one."""
        mark, has_policy, rest = self.why.partition(POLICY_MARK)
        named, has_colon, _ = rest.partition(':')
        return named if has_policy and has_colon and not mark else None


def read_entries(folder: Path) -> Sequence[Entry]:
    """Return all entries below ``folder``, oldest first.

    Raises
    ------
    UnreadableEntryError
        If a file can't be read; it names the file.
    """
    return sorted(_decode_all(folder), key=lambda entry: entry.at)


def _decode_all(folder: Path) -> Iterator[Entry]:
    for path in sorted(folder.glob('*.json')):
        try:
            yield msgspec.json.decode(path.read_bytes(), type=Entry)
        except msgspec.MsgspecError as bad:
            raise UnreadableEntryError(f'{path.name}: {bad}') from bad
