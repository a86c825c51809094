"""Expiry of crash records, which bounds what peers exchange."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.suspects.crash_counts import count_crashes
from baobabhinge_coordination.suspects.records import Crash

# Cleared suspects are sent until every peer has received the clearing.
CLEARED_RETENTION = timedelta(minutes=1)
SUSPECT_RETENTION = timedelta(minutes=5)
CULPRIT_RETENTION = timedelta(minutes=30)
MAX_CRASHES = 256
CULPRIT_CRASHES = 2


def prune_crashes(crashes: Sequence[Crash], now: timedelta) -> list[Crash]:
    """Return the newest crashes with unexpired suspects, oldest first.

    Suspects expire after five minutes, culprits after thirty.
    """
    culprits = _list_culprits(crashes)
    unexpired = [
        _drop_expired(crash, now - crash.instant, culprits) for crash in crashes
    ]
    current = [crash for crash in unexpired if crash.suspects]
    current.sort(key=_get_instant)
    return current[-MAX_CRASHES:]


def _list_culprits(crashes: Sequence[Crash]) -> frozenset[str]:
    return frozenset(
        fingerprint
        for fingerprint, count in count_crashes(crashes).items()
        if count >= CULPRIT_CRASHES
    )


def _drop_expired(
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
