"""Calls that run at most once, with a witness instead of a store.

A run-once key names the only process that may run the call, its owner, and a
second process, the witness, which records the intent before the call runs.
When the owner can't be reached, the witness either answers with the outcome
or seals the key, after which the call can't run. See ``docs/runonce.md``.
"""

from baobabhinge_coordination.runonce.digests import (
    compute_request_digest as compute_request_digest,
)
from baobabhinge_coordination.runonce.dispatch_failures import (
    DISPATCH_FAILURE_OUTCOMES as DISPATCH_FAILURE_OUTCOMES,
)
from baobabhinge_coordination.runonce.dispatch_failures import (
    DispatchFailure as DispatchFailure,
)
from baobabhinge_coordination.runonce.dispatch_failures import (
    may_try_another_server as may_try_another_server,
)
from baobabhinge_coordination.runonce.errors import (
    KeysExhaustedError as KeysExhaustedError,
)
from baobabhinge_coordination.runonce.errors import (
    MalformedKeyError as MalformedKeyError,
)
from baobabhinge_coordination.runonce.errors import RunOnceError as RunOnceError
from baobabhinge_coordination.runonce.errors import (
    WitnessFullError as WitnessFullError,
)
from baobabhinge_coordination.runonce.key_mint import Issuer as Issuer
from baobabhinge_coordination.runonce.key_mint import KeyMint as KeyMint
from baobabhinge_coordination.runonce.key_mint import MintWindow as MintWindow
from baobabhinge_coordination.runonce.keys import Party as Party
from baobabhinge_coordination.runonce.keys import RunOnceKey as RunOnceKey
from baobabhinge_coordination.runonce.keys import decode_key as decode_key
from baobabhinge_coordination.runonce.keys import encode_key as encode_key
from baobabhinge_coordination.runonce.messages import AskOutcome as AskOutcome
from baobabhinge_coordination.runonce.messages import CopyOutcome as CopyOutcome
from baobabhinge_coordination.runonce.messages import EpochOpened as EpochOpened
from baobabhinge_coordination.runonce.messages import IntentReply as IntentReply
from baobabhinge_coordination.runonce.messages import (
    IntentVerdict as IntentVerdict,
)
from baobabhinge_coordination.runonce.messages import OpenEpoch as OpenEpoch
from baobabhinge_coordination.runonce.messages import (
    RecordIntent as RecordIntent,
)
from baobabhinge_coordination.runonce.outcomes import KeptAnswer as KeptAnswer
from baobabhinge_coordination.runonce.outcomes import OutcomeKind as OutcomeKind
from baobabhinge_coordination.runonce.outcomes import (
    OutcomeReason as OutcomeReason,
)
from baobabhinge_coordination.runonce.outcomes import (
    RunOnceOutcome as RunOnceOutcome,
)
from baobabhinge_coordination.runonce.outcomes import (
    build_answered_outcome as build_answered_outcome,
)
from baobabhinge_coordination.runonce.outcomes import (
    build_not_run_outcome as build_not_run_outcome,
)
from baobabhinge_coordination.runonce.outcomes import (
    build_unknown_outcome as build_unknown_outcome,
)
from baobabhinge_coordination.runonce.owner import Owner as Owner
from baobabhinge_coordination.runonce.owner import OwnerAction as OwnerAction
from baobabhinge_coordination.runonce.owner import (
    OwnerInstruction as OwnerInstruction,
)
from baobabhinge_coordination.runonce.retention import (
    DEFAULT_KEY_AGE as DEFAULT_KEY_AGE,
)
from baobabhinge_coordination.runonce.retention import Retention as Retention
from baobabhinge_coordination.runonce.signing import KeySigner as KeySigner
from baobabhinge_coordination.runonce.unreachable_owner import (
    OwnerLocation as OwnerLocation,
)
from baobabhinge_coordination.runonce.unreachable_owner import (
    locate_owner as locate_owner,
)
from baobabhinge_coordination.runonce.unreachable_owner import (
    resolve_without_owner as resolve_without_owner,
)
from baobabhinge_coordination.runonce.witness import Witness as Witness
