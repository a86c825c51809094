"""Messages between entry, owner and witness of a key."""

import enum

import msgspec

from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.outcomes import RunOnceOutcome


class OpenEpoch(msgspec.Struct, frozen=True):
    """An owner asks a witness for a new epoch."""

    owner: Party


class EpochOpened(msgspec.Struct, frozen=True):
    """The witness holds the epoch from now on."""

    witness: Party
    epoch: int


class RecordIntent(msgspec.Struct, frozen=True):
    """The owner is about to run a call."""

    key: RunOnceKey
    digest: str


class IntentVerdict(enum.StrEnum):
    """What became of an intent.

    ``recorded`` is given once for each key. ``repeated`` tells that the key
    has an intent already, ``sealed`` that somebody was told that the call
    does not run, ``refused`` that the witness can't vouch for the key.
    """

    recorded = 'recorded'
    repeated = 'repeated'
    sealed = 'sealed'
    refused = 'refused'


class IntentReply(msgspec.Struct, frozen=True):
    """Answer to `RecordIntent`."""

    verdict: IntentVerdict


class CopyOutcome(msgspec.Struct, frozen=True):
    """The owner tells how a call ended."""

    key: RunOnceKey
    outcome: RunOnceOutcome


class AskOutcome(msgspec.Struct, frozen=True):
    """Somebody who can't reach the owner asks the witness.

    Parameters
    ----------
    key : RunOnceKey
        The key.
    digest : str
        Digest of the request; empty to ask without one.
    """

    key: RunOnceKey
    digest: str = ''
