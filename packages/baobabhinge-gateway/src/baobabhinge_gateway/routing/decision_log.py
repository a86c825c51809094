"""Routing decisions as reported by ``/v1/status``."""

from collections import Counter, defaultdict, deque
from datetime import timedelta

import msgspec

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Candidate, Decision

MAX_RECENT_DECISIONS = 16
MAX_REPORTED_CANDIDATES = 8
MILLISECOND = timedelta(milliseconds=1)


class CandidateReport(msgspec.Struct, frozen=True):
    """Report of one candidate of a decision.

    Parameters
    ----------
    vm : str
        Vm of the candidate.
    remote : bool
        Whether the vm is a gateway of a remote region.
    in_flight : int
        Calls that this gateway had in flight at the vm.
    wait_ms, first_ms : float
        Expected queueing delay, and time to the first chunk of the answer.
    score : float
        Weighted score; smaller is better.
    blocked : str
        Limit that excluded the candidate; empty if none did.
    """

    vm: str
    remote: bool
    in_flight: int
    wait_ms: float
    first_ms: float
    score: float
    blocked: str


class DecisionReport(msgspec.Struct, frozen=True):
    """Report of one decision, without content of the call.

    Parameters
    ----------
    request_id, service : str
        Id of the call, and its service.
    kind : str
        ``home`` if the best candidate was in the local region, ``away`` if it
        was in a remote one; the error code if the call was refused.
    winner : str
        Vm of the best candidate; empty if the call was refused.
    candidates : list of CandidateReport
        Candidates by rank, then those that a limit excluded.
    omitted : int
        Number of candidates left out of the report.
    """

    request_id: str
    service: str
    kind: str
    winner: str
    candidates: list[CandidateReport]
    omitted: int


class DecisionSummary(msgspec.Struct, frozen=True):
    """Summary of the decisions since the start of the gateway.

    Parameters
    ----------
    kinds : dict of str to int
        Number of decisions by kind.
    blocked : dict of str to dict of str to int
        Number of excluded candidates by limit and service.
    recent : list of DecisionReport
        Latest decisions, oldest first.
    """

    kinds: dict[str, int]
    blocked: dict[str, dict[str, int]]
    recent: list[DecisionReport]


class DecisionLog:
    """Log of the latest decisions, with counters over all decisions.

    Parameters
    ----------
    region : str
        Local region. Calls bound to other regions are counted, and not kept
        in the log.
    """

    __slots__ = ('_blocked', '_kinds', '_recent', '_region')

    def __init__(self, region: str) -> None:
        """Start without decisions."""
        self._region = region
        self._recent: deque[DecisionReport] = deque(maxlen=MAX_RECENT_DECISIONS)
        self._kinds: Counter[str] = Counter()
        self._blocked: defaultdict[str, Counter[str]] = defaultdict(Counter)

    def add(self, call: Call, decision: Decision, refusal: str = '') -> None:
        """Record one decision.

        Parameters
        ----------
        call : Call
            Call of the decision.
        decision : Decision
            Ranked and excluded candidates.
        refusal : str
            Error code if the call was refused, else empty.
        """
        report = _report_decision(call, decision, refusal)
        self._kinds[report.kind] += 1
        for candidate in decision.blocked:
            self._blocked[candidate.blocked][report.service] += 1
        if call.terms.allows(self._region):
            self._recent.append(report)

    def summarize(self) -> DecisionSummary:
        """Return the counters and the latest decisions."""
        return DecisionSummary(
            dict(self._kinds),
            {limit: dict(counts) for limit, counts in self._blocked.items()},
            list(self._recent),
        )


def _report_decision(
    call: Call, decision: Decision, refusal: str
) -> DecisionReport:
    ranked = (*decision.candidates, *decision.blocked)
    return DecisionReport(
        call.request_id,
        call.service.name,
        refusal or _get_kind(decision.best),
        '' if refusal else decision.best.target.vm.name,
        [
            _report_candidate(candidate)
            for candidate in ranked[:MAX_REPORTED_CANDIDATES]
        ],
        max(0, len(ranked) - MAX_REPORTED_CANDIDATES),
    )


def _get_kind(best: Candidate) -> str:
    return 'away' if best.target.is_remote else 'home'


def _report_candidate(candidate: Candidate) -> CandidateReport:
    return CandidateReport(
        candidate.target.vm.name,
        candidate.target.is_remote,
        candidate.target.in_flight,
        candidate.wait / MILLISECOND,
        candidate.first / MILLISECOND,
        candidate.score,
        candidate.blocked,
    )
