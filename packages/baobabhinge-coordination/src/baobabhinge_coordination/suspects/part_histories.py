"""Evidence on one part that several requests share: crashes and answers."""

from collections.abc import Iterable
from datetime import timedelta
from typing import TypeVar

import msgspec

from baobabhinge_coordination.suspects.histories import (
    DatedCrash,
    list_unknown,
)

# The latest ones decide; older ones need not be exchanged.
MAX_CRASHES = 8
MAX_ANSWERS = 16

_Dated = TypeVar('_Dated', 'DatedAnswer', DatedCrash)


class DatedAnswer(msgspec.Struct, frozen=True):
    """Answer of a server that stayed up, dated by the local monotonic clock.

    Parameters
    ----------
    run : str
        Identity of the run, by which reports of one answer are recognized.
    instant : timedelta
        Instant at which it was proved that the server had stood the run.
    """

    run: str
    instant: timedelta


class PartHistory:
    """Crashes and answers of the runs with one part, the latest of each.

    Both are sets to which peers add what they observe, so that reports may
    arrive late, twice and in any order.

    Parameters
    ----------
    regions : tuple of str
        Regions that may learn the fingerprint of the part; empty for all.

    Attributes
    ----------
    crashes : list of DatedCrash
        Crashes, oldest first.
    answers : list of DatedAnswer
        Answers, oldest first.
    """

    __slots__ = ('answers', 'crashes', 'regions')

    def __init__(self, regions: tuple[str, ...]) -> None:
        """Start without evidence."""
        self.regions = regions
        self.crashes: list[DatedCrash] = []
        self.answers: list[DatedAnswer] = []

    def add_crashes(self, crashes: Iterable[DatedCrash]) -> bool:
        """Add what one observer tells; return whether it tells any news."""
        unknown = list_unknown(crashes, self.crashes)
        self.crashes = _keep_latest([*self.crashes, *unknown], MAX_CRASHES)
        return any(crash in self.crashes for crash in unknown)

    def add_answer(self, answer: DatedAnswer) -> bool:
        """Add an answer; return whether it was not known."""
        if any(answer.run == known.run for known in self.answers):
            return False
        self.answers = _keep_latest([*self.answers, answer], MAX_ANSWERS)
        return answer in self.answers

    def count_answers(self, since: timedelta) -> int:
        """Return the number of answers at ``since`` or later."""
        return sum(answer.instant >= since for answer in self.answers)


def _keep_latest(dated: list[_Dated], limit: int) -> list[_Dated]:
    dated.sort(key=lambda one: one.instant)
    return dated[-limit:]
