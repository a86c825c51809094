"""How long evidence on parts of requests is kept and reported."""

from datetime import timedelta

from baobabhinge_coordination.suspects.expiry import (
    CULPRIT_RETENTION,
    SUSPECT_RETENTION,
)
from baobabhinge_coordination.suspects.part_cases import (
    CONFINING_CRASHES,
    MAX_ANSWERS_PER_CRASH,
    REFUSING_CRASHES,
)
from baobabhinge_coordination.suspects.part_histories import PartHistory


def find_expiry(history: PartHistory) -> timedelta:
    """Return the instant until which a part is remembered."""
    is_refusable = len(history.crashes) >= REFUSING_CRASHES
    retention = CULPRIT_RETENTION if is_refusable else SUSPECT_RETENTION
    return history.crashes[-1].instant + retention


def is_outweighed(history: PartHistory) -> bool:
    """Return whether answers since the latest crash clear a part.

    More answers need not be recorded: even with two more crashes, the part
    would not be refused.
    """
    latest = history.crashes[-1].instant
    limit = REFUSING_CRASHES * MAX_ANSWERS_PER_CRASH
    return history.count_answers(latest) > limit


def is_repeated(history: PartHistory) -> bool:
    """Return whether servers ended with a part more than once."""
    return len(history.crashes) >= CONFINING_CRASHES


def is_lasting(history: PartHistory) -> bool:
    """Return whether a part is reported to peers until it expires."""
    is_refusable = len(history.crashes) >= REFUSING_CRASHES
    return is_refusable and not is_outweighed(history)


def rank_retention(history: PartHistory) -> tuple[int, timedelta]:
    """Return a key that sorts first what is dropped first."""
    return len(history.crashes), history.crashes[-1].instant
