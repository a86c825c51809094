"""Decision which parts of requests crash the servers that run them.

Load pattern: requests of which no two are alike share one part, and each server
that begins to answer one of them ends. All runs of the server end with it, so
that parts of sound requests are present at its crashes too.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.suspects.expiry import CULPRIT_RETENTION
from baobabhinge_coordination.suspects.histories import DatedCrash
from baobabhinge_coordination.suspects.part_cases import (
    CONFINING_CRASHES,
    PartCase,
    can_refuse,
    list_cases,
)
from baobabhinge_coordination.suspects.part_histories import PartHistory


class Culprit(msgspec.Struct, frozen=True):
    """Parts of which one, or all together, crash servers.

    Parameters
    ----------
    parts : frozenset of str
        Fingerprints of parts that the evidence does not tell apart.
    until : timedelta
        Instant until which requests that have all of them are refused.
    """

    parts: frozenset[str]
    until: timedelta


class PartVerdicts(msgspec.Struct, frozen=True):
    """Parts that are refused, and parts that are confined to one server.

    Parameters
    ----------
    culprits : sequence of Culprit
        Requests with all parts of one of them are refused.
    confined : frozenset of str
        Requests with one of these are run by one server of a region.
    """

    culprits: Sequence[Culprit] = ()
    confined: frozenset[str] = frozenset()


def judge_parts(histories: Mapping[str, PartHistory]) -> PartVerdicts:
    """Return the verdicts on all parts that were present at crashes.

    The part with the strongest evidence explains its crashes, so that they do
    not count against the other parts that were present at them.

    Parameters
    ----------
    histories : mapping of str to PartHistory
        Evidence by fingerprint of the part.
    """
    cases = list_cases(histories)
    culprits: list[Culprit] = []
    explained: list[DatedCrash] = []
    for case in cases:
        if _is_refused(case, explained):
            alike = filter(case.is_like, cases)
            culprits.append(_build_culprit(tuple(alike)))
            explained.extend(case.crashes)
    return PartVerdicts(
        tuple(culprits),
        _list_ambiguous(culprits) | _list_confined(cases, explained),
    )


def _is_refused(case: PartCase, explained: Sequence[DatedCrash]) -> bool:
    return can_refuse(case.list_unexplained(explained))


def _build_culprit(alike: Sequence[PartCase]) -> Culprit:
    latest = max(case.crashes[-1].instant for case in alike)
    return Culprit(
        frozenset(case.part for case in alike), latest + CULPRIT_RETENTION
    )


def _list_ambiguous(culprits: Sequence[Culprit]) -> frozenset[str]:
    """Return parts of which a request may have some, but not all, and run."""
    groups = [one.parts for one in culprits if len(one.parts) > 1]
    return frozenset().union(*groups)


def _list_confined(
    cases: Sequence[PartCase], explained: Sequence[DatedCrash]
) -> frozenset[str]:
    return frozenset(
        case.part
        for case in cases
        if not case.answers
        and len(case.list_unexplained(explained)) >= CONFINING_CRASHES
    )
