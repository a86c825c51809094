"""What may be said about a call without its owner."""

import enum

from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.outcomes import (
    Outcome,
    Reason,
    report_unknown,
)


class Place(enum.Enum):
    """Where the owner of a key is, seen from one process."""

    here = 'here'
    elsewhere = 'elsewhere'
    lost = 'lost'


def locate_owner(key: RunOnceKey, party: Party) -> Place:
    """Tell where the owner of ``key`` is, seen from ``party``.

    An owner with this vm's name and another incarnation has ended.
    """
    if key.owner == party:
        return Place.here
    if key.owner.vm == party.vm:
        return Place.lost
    return Place.elsewhere


def conclude(told: Outcome | None) -> Outcome:
    """Return what to say when the owner does not answer.

    Parameters
    ----------
    told : Outcome or None
        What the witness said; ``None`` when it is silent too or when there is
        none. Silence proves nothing: only the seal of a witness stops an
        owner that was paused.
    """
    if told is None:
        return report_unknown(Reason.owner_lost)
    return told
