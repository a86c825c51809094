"""Forgetting what no longer counts, so that peers exchange little."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.suspects.crash_counts import count_crashes
from baobabhinge_coordination.suspects.records import Crash

# A cleared suspect is named until every peer has heard of it.
CLEARED_RETENTION = timedelta(minutes=1)
SUSPECT_RETENTION = timedelta(minutes=5)
CULPRIT_RETENTION = timedelta(minutes=30)
MAX_CRASHES = 256
CULPRIT_CRASHES = 2


def prune_crashes(crashes: Sequence[Crash], now: timedelta) -> list[Crash]:
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
    if age > CULPRIT_RETENTION:
        suspects = frozenset()
    elif age > SUSPECT_RETENTION:
        suspects &= culprits
    if age <= CLEARED_RETENTION:
        return crash
    return msgspec.structs.replace(
        crash,
        suspects=suspects - crash.cleared,
        cleared=frozenset(),
    )


def _get_instant(crash: Crash) -> timedelta:
    return crash.instant
