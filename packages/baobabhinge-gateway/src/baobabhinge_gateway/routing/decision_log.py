"""Decisions as ``/v1/status`` shows them."""

from collections import Counter, defaultdict, deque
from datetime import timedelta

import msgspec

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Candidate, Decision

MAX_RECENT_DECISIONS = 16
MAX_REPORTED_CANDIDATES = 8
MILLISECOND = timedelta(milliseconds=1)


class CandidateReport(msgspec.Struct, frozen=True):
    """One candidate of a decision.

    Parameters
    ----------
    vm : str
        The vm that would take the call.
    remote : bool
        Whether it is a gateway of another region.
    in_flight : int
        Calls of this gateway that it was running.
    wait_ms, first_ms : float
        Expected queueing, and time to the first piece of the answer.
    score : float
        Weighted objective; smaller is better.
    blocked : str
        Limit that kept the call from it; empty if none did.
    """

    vm: str
    remote: bool
    in_flight: int
    wait_ms: float
    first_ms: float
    score: float
    blocked: str


class DecisionReport(msgspec.Struct, frozen=True):
    """One decision, without text of the call.

    Parameters
    ----------
    request_id, service : str
        The call.
    kind : str
        ``home`` or ``away``, or the code of the refusal.
    winner : str
        The vm to be tried first; empty if the call was refused.
    candidates : list of CandidateReport
        The best ones, then those that a limit kept out.
    omitted : int
        Number of further candidates.
    """

    request_id: str
    service: str
    kind: str
    winner: str
    candidates: list[CandidateReport]
    omitted: int


class DecisionSummary(msgspec.Struct, frozen=True):
    """What has been decided since the start of the gateway.

    Parameters
    ----------
    kinds : dict of str to int
        Decisions by kind.
    blocked : dict of str to dict of str to int
        Candidates kept out, by limit and service.
    recent : list of DecisionReport
        The newest decisions, the oldest of them first.
    """

    kinds: dict[str, int]
    blocked: dict[str, dict[str, int]]
    recent: list[DecisionReport]


class DecisionLog:
    """The newest decisions, and counters over all of them.

    Parameters
    ----------
    region : str
        Region of this gateway; calls that are bound to other ones are
        counted and not kept.
    """

    __slots__ = ('_blocked', '_kinds', '_recent', '_region')

    def __init__(self, region: str) -> None:
        """Start empty."""
        self._region = region
        self._recent: deque[DecisionReport] = deque(maxlen=MAX_RECENT_DECISIONS)
        self._kinds: Counter[str] = Counter()
        self._blocked: defaultdict[str, Counter[str]] = defaultdict(Counter)

    def add(self, call: Call, decision: Decision, refusal: str = '') -> None:
        """Record one decision.

        Parameters
        ----------
        call : Call
            What was decided about.
        decision : Decision
            The ranked candidates.
        refusal : str
            Code of the error by which the call was refused, if it was.
        """
        report = _describe(call, decision, refusal)
        self._kinds[report.kind] += 1
        for candidate in decision.blocked:
            self._blocked[candidate.blocked][report.service] += 1
        if call.terms.allows(self._region):
            self._recent.append(report)

    def summarize(self) -> DecisionSummary:
        """Return the counters and the newest decisions."""
        return DecisionSummary(
            dict(self._kinds),
            {limit: dict(counts) for limit, counts in self._blocked.items()},
            list(self._recent),
        )


def _describe(call: Call, decision: Decision, refusal: str) -> DecisionReport:
    ranked = (*decision.candidates, *decision.blocked)
    return DecisionReport(
        call.request_id,
        call.service.name,
        refusal or _name_kind(decision.best),
        '' if refusal else decision.best.target.vm.name,
        [_describe_candidate(one) for one in ranked[:MAX_REPORTED_CANDIDATES]],
        max(0, len(ranked) - MAX_REPORTED_CANDIDATES),
    )


def _name_kind(best: Candidate) -> str:
    return 'away' if best.target.is_remote else 'home'


def _describe_candidate(candidate: Candidate) -> CandidateReport:
    return CandidateReport(
        candidate.target.vm.name,
        candidate.target.is_remote,
        candidate.target.in_flight,
        candidate.wait / MILLISECOND,
        candidate.first / MILLISECOND,
        candidate.score,
        candidate.blocked,
    )
