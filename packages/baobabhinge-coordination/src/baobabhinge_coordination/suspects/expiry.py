"""Forgetting what no longer counts, so that peers exchange little."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.suspects.counting import count_crashes
from baobabhinge_coordination.suspects.records import Crash

# A cleared suspect is named until every peer has heard of it.
CLEARING = timedelta(minutes=1)
SUSPICION = timedelta(minutes=5)
CONVICTION = timedelta(minutes=30)
MAX_CRASHES = 256
CULPRIT_CRASHES = 2


def keep_current(crashes: Sequence[Crash], now: timedelta) -> list[Crash]:
    """Return the crashes with what still counts, the oldest first.

    Suspects are forgotten after five minutes, culprits after thirty.
    """
    culprits = _list_culprits(crashes)
    kept = [_shorten(crash, now - crash.instant, culprits) for crash in crashes]
    current = [crash for crash in kept if crash.suspects]
    current.sort(key=_get_instant)
    return current[-MAX_CRASHES:]


def _list_culprits(crashes: Sequence[Crash]) -> frozenset[str]:
    return frozenset(
        fingerprint
        for fingerprint, count in count_crashes(crashes).items()
        if count >= CULPRIT_CRASHES
    )


def _shorten(
    crash: Crash,
    age: timedelta,
    culprits: frozenset[str],
) -> Crash:
    suspects = crash.suspects
    if age > CONVICTION:
        suspects = frozenset()
    elif age > SUSPICION:
        suspects &= culprits
    if age <= CLEARING:
        return crash
    return msgspec.structs.replace(
        crash,
        suspects=suspects - crash.cleared,
        cleared=frozenset(),
    )


def _get_instant(crash: Crash) -> timedelta:
    return crash.instant
