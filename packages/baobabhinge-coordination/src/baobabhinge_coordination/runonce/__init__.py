"""Calls that run at most once, with a witness instead of a store.

A key names the only process that may run the call, its owner, and a second
one, the witness, which records the intent before the run. Without the owner,
the witness either answers with the outcome or seals the key, after which the
call can't run. See ``docs/runonce.md``.
"""

from baobabhinge_coordination.runonce.digests import (
    compute_request_digest as compute_request_digest,
)
from baobabhinge_coordination.runonce.dispatching import (
    END_OUTCOMES as END_OUTCOMES,
)
from baobabhinge_coordination.runonce.dispatching import (
    DispatchEnd as DispatchEnd,
)
from baobabhinge_coordination.runonce.dispatching import (
    may_try_another as may_try_another,
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
from baobabhinge_coordination.runonce.inquiry import Place as Place
from baobabhinge_coordination.runonce.inquiry import conclude as conclude
from baobabhinge_coordination.runonce.inquiry import (
    locate_owner as locate_owner,
)
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
from baobabhinge_coordination.runonce.minting import Issuer as Issuer
from baobabhinge_coordination.runonce.minting import KeyMint as KeyMint
from baobabhinge_coordination.runonce.minting import Window as Window
from baobabhinge_coordination.runonce.outcomes import KeptAnswer as KeptAnswer
from baobabhinge_coordination.runonce.outcomes import Outcome as Outcome
from baobabhinge_coordination.runonce.outcomes import OutcomeKind as OutcomeKind
from baobabhinge_coordination.runonce.outcomes import Reason as Reason
from baobabhinge_coordination.runonce.outcomes import (
    report_answered as report_answered,
)
from baobabhinge_coordination.runonce.outcomes import (
    report_not_run as report_not_run,
)
from baobabhinge_coordination.runonce.outcomes import (
    report_unknown as report_unknown,
)
from baobabhinge_coordination.runonce.owner import Action as Action
from baobabhinge_coordination.runonce.owner import Instruction as Instruction
from baobabhinge_coordination.runonce.owner import Owner as Owner
from baobabhinge_coordination.runonce.retention import KEY_AGE as KEY_AGE
from baobabhinge_coordination.runonce.retention import Retention as Retention
from baobabhinge_coordination.runonce.signing import KeySigner as KeySigner
from baobabhinge_coordination.runonce.witness import Witness as Witness
