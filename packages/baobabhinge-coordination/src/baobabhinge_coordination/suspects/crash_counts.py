"""Numbers of crashes of which requests are suspects."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from datetime import timedelta

from baobabhinge_coordination.suspects.records import Crash

# Twice the window in which two records count as one crash: observers date a
# crash by when they learn of it, and may merge it with an earlier record.
SEPARATE_CRASH_INTERVAL = timedelta(seconds=6)


def count_crashes(crashes: Sequence[Crash]) -> Counter[str]:
    """Return the number of crashes of which each request is a suspect.

    Records of one server count as one crash unless at least
    ``SEPARATE_CRASH_INTERVAL`` lies between them.
    """
    counts: Counter[str] = Counter()
    for (_, fingerprint), instants in _group_instants(crashes).items():
        counts[fingerprint] += _count_separate(instants)
    return counts


def _group_instants(
    crashes: Sequence[Crash],
) -> dict[tuple[str, str], list[timedelta]]:
    instants = defaultdict(list)
    for crash in crashes:
        for fingerprint in crash.suspects - crash.cleared:
            instants[crash.server, fingerprint].append(crash.instant)
    return instants


def _count_separate(instants: Iterable[timedelta]) -> int:
    counted: list[timedelta] = []
    for instant in sorted(instants):
        if not counted or instant - counted[-1] >= SEPARATE_CRASH_INTERVAL:
            counted.append(instant)
    return len(counted)
