"""Counting the crashes that are held against requests."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from datetime import timedelta

from baobabhinge_coordination.suspects.records import Crash

# Observers date one crash by when they hear of it, and may take it for one
# that they know: twice the time within which two records are the same crash.
SEPARATE_CRASH_INTERVAL = timedelta(seconds=6)


def count_crashes(crashes: Sequence[Crash]) -> Counter[str]:
    """Return how many crashes are held against each request.

    Records of one server count as one crash unless they are well apart.
    """
    counts: Counter[str] = Counter()
    for (_, fingerprint), instants in _group(crashes).items():
        counts[fingerprint] += _count_apart(instants)
    return counts


def _group(
    crashes: Sequence[Crash],
) -> dict[tuple[str, str], list[timedelta]]:
    instants = defaultdict(list)
    for crash in crashes:
        for fingerprint in crash.suspects - crash.cleared:
            instants[crash.server, fingerprint].append(crash.instant)
    return instants


def _count_apart(instants: Iterable[timedelta]) -> int:
    counted: list[timedelta] = []
    for instant in sorted(instants):
        if not counted or instant - counted[-1] >= SEPARATE_CRASH_INTERVAL:
            counted.append(instant)
    return len(counted)
