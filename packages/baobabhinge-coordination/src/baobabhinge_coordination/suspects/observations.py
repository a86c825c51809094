"""Evidence that one member has observed, which it stores for later processes.

What other members report is stored by them.
"""

from collections.abc import Sequence

from baobabhinge_coordination.suspects.histories import RequestHistory
from baobabhinge_coordination.suspects.history_table import HistoryTable
from baobabhinge_coordination.suspects.part_histories import PartHistory
from baobabhinge_coordination.suspects.part_retention import (
    is_repeated as is_part_repeated,
)
from baobabhinge_coordination.suspects.part_retention import rank_retention
from baobabhinge_coordination.suspects.part_table import PartTable
from baobabhinge_coordination.suspects.pauses import is_expired, is_repeated


def list_observed_requests(
    table: HistoryTable, *, with_repeated: bool
) -> Sequence[tuple[str, RequestHistory]]:
    """Return requests by fingerprint, those with the most crashes first.

    Parameters
    ----------
    table : HistoryTable
        Histories of the requests.
    with_repeated : bool
        Whether to return all requests under which servers ended repeatedly,
        whoever observed it.
    """
    now = table.clock.read_monotonic()
    found = [
        (fingerprint, history)
        for fingerprint, history in reversed(table.by_fingerprint.items())
        if fingerprint in table.observed
        or (with_repeated and is_repeated(history))
    ]
    kept = [one for one in found if not is_expired(one[1], now)]
    return sorted(kept, key=lambda one: -len(one[1].crashes))


def list_observed_parts(
    table: PartTable, *, with_repeated: bool
) -> Sequence[tuple[str, PartHistory]]:
    """Return parts by fingerprint, those with the most crashes first.

    Parameters
    ----------
    table : PartTable
        Evidence on the parts.
    with_repeated : bool
        Whether to return all parts with which servers ended repeatedly,
        whoever observed it.
    """
    table.drop_expired()
    found = [
        (fingerprint, history)
        for fingerprint, history in table.histories.items()
        if fingerprint in table.observed
        or (with_repeated and is_part_repeated(history))
    ]
    return sorted(found, key=lambda one: rank_retention(one[1]), reverse=True)
