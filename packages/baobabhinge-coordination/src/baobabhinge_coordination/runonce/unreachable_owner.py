"""What may be said about a call without its owner."""

import enum

from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.outcomes import (
    OutcomeReason,
    RunOnceOutcome,
    build_unknown_outcome,
)


class OwnerLocation(enum.Enum):
    """Where the owner of a key is, seen from one process."""

    here = 'here'
    elsewhere = 'elsewhere'
    lost = 'lost'


def locate_owner(key: RunOnceKey, party: Party) -> OwnerLocation:
    """Tell where the owner of ``key`` is, seen from ``party``.

    An owner with this vm's name and another incarnation has ended.
    """
    if key.owner == party:
        return OwnerLocation.here
    if key.owner.vm == party.vm:
        return OwnerLocation.lost
    return OwnerLocation.elsewhere


def resolve_without_owner(told: RunOnceOutcome | None) -> RunOnceOutcome:
    """Return what to say when the owner does not answer.

    Parameters
    ----------
    told : RunOnceOutcome or None
        What the witness said; ``None`` when it is silent too or when there is
        none. Silence proves nothing: only the seal of a witness stops an
        owner that was paused.
    """
    if told is None:
        return build_unknown_outcome(OutcomeReason.owner_lost)
    return told
