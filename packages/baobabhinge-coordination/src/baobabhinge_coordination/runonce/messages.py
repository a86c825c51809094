"""Messages between the entry gateway, the owner and the witness of a key."""

import enum

import msgspec

from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.outcomes import RunOnceOutcome


class OpenEpoch(msgspec.Struct, frozen=True):
    """Request of an owner for a new epoch at a witness."""

    owner: Party


class EpochOpened(msgspec.Struct, frozen=True):
    """Answer to `OpenEpoch`: the witness and the number of the new epoch."""

    witness: Party
    epoch: int


class RecordIntent(msgspec.Struct, frozen=True):
    """Request of an owner to record its intent to run a call."""

    key: RunOnceKey
    digest: str


class IntentVerdict(enum.StrEnum):
    """Verdict of a witness on an intent.

    ``recorded`` is returned once for each key. ``repeated`` means that the key
    has an intent already, ``sealed`` that "not run" was reported for the key,
    ``refused`` that the witness doesn't hold the epoch of the key or has no
    room left in it.
    """

    recorded = 'recorded'
    repeated = 'repeated'
    sealed = 'sealed'
    refused = 'refused'


class IntentReply(msgspec.Struct, frozen=True):
    """Answer to `RecordIntent`."""

    verdict: IntentVerdict


class CopyOutcome(msgspec.Struct, frozen=True):
    """Report of an owner to the witness of how a call ended."""

    key: RunOnceKey
    outcome: RunOnceOutcome


class AskOutcome(msgspec.Struct, frozen=True):
    """Request to an owner or a witness for the outcome of a call.

    Parameters
    ----------
    key : RunOnceKey
        Key of the call.
    digest : str
        Digest of the request; empty if only the key is known.
    """

    key: RunOnceKey
    digest: str = ''
