"""Identification of requests that crash the servers which run them."""

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
