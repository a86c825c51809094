"""Finding the request that crashes the servers which run it."""

from baobabhinge_coordination.suspects.claims import RunClaims as RunClaims
from baobabhinge_coordination.suspects.ledger import (
    SuspectLedger as SuspectLedger,
)
from baobabhinge_coordination.suspects.records import (
    CrashRecord as CrashRecord,
)
from baobabhinge_coordination.suspects.records import (
    SuspectVerdict as SuspectVerdict,
)
