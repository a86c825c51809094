"""Identification of requests that crash the servers which run them."""

from baobabhinge_coordination.suspects.claims import RunClaims as RunClaims
from baobabhinge_coordination.suspects.histories import (
    DatedCrash as DatedCrash,
)
from baobabhinge_coordination.suspects.history_table import (
    HistoryTable as HistoryTable,
)
from baobabhinge_coordination.suspects.index import (
    SuspectIndex as SuspectIndex,
)
from baobabhinge_coordination.suspects.ledger import (
    SuspectLedger as SuspectLedger,
)
from baobabhinge_coordination.suspects.part_index import (
    PartIndex as PartIndex,
)
from baobabhinge_coordination.suspects.part_reports import (
    PartReport as PartReport,
)
from baobabhinge_coordination.suspects.part_reports import (
    PartReporter as PartReporter,
)
from baobabhinge_coordination.suspects.part_table import (
    PartTable as PartTable,
)
from baobabhinge_coordination.suspects.records import (
    CrashRecord as CrashRecord,
)
from baobabhinge_coordination.suspects.records import (
    SuspectVerdict as SuspectVerdict,
)
from baobabhinge_coordination.suspects.reporting import (
    SuspectReporter as SuspectReporter,
)
from baobabhinge_coordination.suspects.reports import CrashAge as CrashAge
from baobabhinge_coordination.suspects.reports import (
    SuspectReport as SuspectReport,
)
