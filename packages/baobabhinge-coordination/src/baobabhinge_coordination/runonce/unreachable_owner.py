"""Outcomes that are known while the owner of a key is unreachable."""

import enum

from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.outcomes import (
    OutcomeReason,
    RunOnceOutcome,
    build_unknown_outcome,
)


class OwnerLocation(enum.Enum):
    """Location of the owner of a key relative to one process."""

    here = 'here'
    elsewhere = 'elsewhere'
    lost = 'lost'


def locate_owner(key: RunOnceKey, party: Party) -> OwnerLocation:
    """Return the location of the owner of ``key`` relative to ``party``.

    An owner on the same vm with another incarnation is a process that has
    ended, so it is lost.
    """
    if key.owner == party:
        return OwnerLocation.here
    if key.owner.vm == party.vm:
        return OwnerLocation.lost
    return OwnerLocation.elsewhere


def resolve_without_owner(
    witness_outcome: RunOnceOutcome | None,
) -> RunOnceOutcome:
    """Return the outcome to report when the owner doesn't answer.

    Parameters
    ----------
    witness_outcome : RunOnceOutcome or None
        Outcome that the witness reported; ``None`` if it didn't answer either
        or the key has no witness. A missing answer proves nothing: the owner
        may be paused and run the call later, and only a seal at the witness
        prevents that.
    """
    if witness_outcome is None:
        return build_unknown_outcome(OutcomeReason.owner_lost)
    return witness_outcome
