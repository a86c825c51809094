"""Evidence against one part of requests, as far as it is strong enough."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.suspects.histories import DatedCrash
from baobabhinge_coordination.suspects.part_histories import PartHistory

# After this many crashes without an answer between them, requests with a part
# are run by one server of a region only.
CONFINING_CRASHES = 2
# After this many, they are refused.
REFUSING_CRASHES = 3
# A part that some runs stand is refused if a third of them or more crash.
MAX_ANSWERS_PER_CRASH = 2
# A few servers that end together, as when a failure domain loses power, have a
# cause other than the requests that they run. Above the time in which peers
# learn of a crash in another region.
MIN_CRASH_SPAN = timedelta(milliseconds=250)
MANY_CRASHES = 6


class PartCase(msgspec.Struct, frozen=True):
    """Evidence against one part: its latest crashes, and answers since.

    Parameters
    ----------
    part : str
        Fingerprint of the part.
    crashes : tuple of DatedCrash
        Latest crashes, oldest first.
    answers : int
        Answers since the first of them.
    """

    part: str
    crashes: tuple[DatedCrash, ...]
    answers: int

    def is_strong(self) -> bool:
        """Return whether the answers do not outweigh the crashes."""
        return self.answers <= MAX_ANSWERS_PER_CRASH * len(self.crashes)

    def sort_key(self) -> tuple[bool, float, int]:
        """Return a key that sorts the strongest evidence first."""
        count = len(self.crashes)
        return not can_refuse(self.crashes), self.answers / count, -count

    def is_like(self, other: 'PartCase') -> bool:
        """Return whether the evidence does not tell two parts apart."""
        return (
            self.sort_key() == other.sort_key()
            and not self.list_unexplained(other.crashes)
            and not other.list_unexplained(self.crashes)
        )

    def list_unexplained(
        self, explained: Iterable[DatedCrash]
    ) -> Sequence[DatedCrash]:
        """Return the crashes that are not among ``explained``."""
        known = tuple(explained)
        return [
            crash
            for crash in self.crashes
            if not any(crash.is_same(one) for one in known)
        ]


def can_refuse(crashes: Sequence[DatedCrash]) -> bool:
    """Return whether crashes, oldest first, are enough to refuse a part."""
    if len(crashes) < REFUSING_CRASHES:
        return False
    span = crashes[-1].instant - crashes[0].instant
    return span >= MIN_CRASH_SPAN or len(crashes) >= MANY_CRASHES


def list_cases(histories: Mapping[str, PartHistory]) -> Sequence[PartCase]:
    """Return the cases that are strong enough, the strongest first.

    Parameters
    ----------
    histories : mapping of str to PartHistory
        Evidence by fingerprint of the part.
    """
    cases = (_build_case(part, one) for part, one in histories.items())
    return sorted(filter(None, cases), key=PartCase.sort_key)


def _build_case(part: str, history: PartHistory) -> PartCase | None:
    """Return the case of the latest crashes that make the strongest one."""
    cases = [
        PartCase(
            part,
            tuple(history.crashes[start:]),
            history.count_answers(history.crashes[start].instant),
        )
        for start in range(len(history.crashes) - CONFINING_CRASHES + 1)
    ]
    strong = [case for case in cases if case.is_strong()]
    return min(strong, key=PartCase.sort_key, default=None)
