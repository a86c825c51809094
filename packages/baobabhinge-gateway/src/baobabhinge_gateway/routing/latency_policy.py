"""Home first; away only what home would answer late."""

from collections import defaultdict
from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.affinity import (
    apply_prefix_affinity,
    extract_prompt_prefix,
)
from baobabhinge_gateway.routing.decisions import Candidate, Decision
from baobabhinge_gateway.routing.estimates import Estimate
from baobabhinge_gateway.routing.hysteresis import SpilloverSwitch
from baobabhinge_gateway.routing.objective import (
    compute_admission_limit,
    score_candidate,
)
from baobabhinge_gateway.routing.registry import PolicyContext, register_policy
from baobabhinge_gateway.routing.targets import RoutingTarget
from baobabhinge_settings.model import Objective

UNREACHABLE_TIME = timedelta(days=1)
AFFINITY_SLACK_FRACTION = 0.1


@register_policy('estimated-latency')
class EstimatedLatencyPolicy:
    """Rank by the weighted objective of the expected first piece.

    Parameters
    ----------
    parts : PolicyContext
        What the policy decides from.
    """

    __slots__ = ('_parts', '_switches')

    def __init__(self, parts: PolicyContext) -> None:
        """Start with every service at home."""
        self._parts = parts
        self._switches: defaultdict[str, SpilloverSwitch] = defaultdict(
            lambda: SpilloverSwitch(parts.clock),
        )

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the candidates, those that a limit blocks apart."""
        candidates = self._build_candidates(call, targets)
        home = self._rank_home(call, candidates)
        away = _select(candidates, is_remote=True)
        if self._may_leave(call, home, away):
            ranked = (away[0], *home, *away[1:])
        else:
            ranked = (*home, *away)
        blocked = [candidate for candidate in candidates if candidate.blocked]
        return Decision(ranked, tuple(blocked))

    def _build_candidates(
        self,
        call: Call,
        targets: Sequence[RoutingTarget],
    ) -> list[Candidate]:
        objective = self._find_objective(call)
        shuffled = self._parts.random.sample(targets, len(targets))
        estimates = self._parts.estimator.estimate(shuffled)
        return [
            self._parts.limits.mark_blocked(
                call,
                _weigh(target, estimate, objective),
            )
            for target, estimate in zip(shuffled, estimates, strict=True)
        ]

    def _rank_home(
        self,
        call: Call,
        candidates: Sequence[Candidate],
    ) -> list[Candidate]:
        home = _select(candidates, is_remote=False)
        prefix = extract_prompt_prefix(call)
        if prefix is None:
            return home
        slack = self._find_objective(call).first_token * AFFINITY_SLACK_FRACTION
        return apply_prefix_affinity(prefix, home, slack)

    def _may_leave(
        self,
        call: Call,
        home: Sequence[Candidate],
        away: Sequence[Candidate],
    ) -> bool:
        first = min(
            (candidate.first for candidate in home), default=UNREACHABLE_TIME
        )
        limit = compute_admission_limit(self._find_objective(call))
        is_late = self._switches[call.service.name].update(first, limit)
        if not (home and away):
            return bool(away)
        return is_late and _is_better(away[0], home[0], limit)

    def _find_objective(self, call: Call) -> Objective:
        return self._parts.objectives.find_objective(call.service.name)


def _weigh(
    target: RoutingTarget,
    estimate: Estimate,
    objective: Objective,
) -> Candidate:
    score = score_candidate(
        objective,
        estimate.first,
        is_remote=target.is_remote,
    )
    return Candidate(target, estimate.wait, estimate.first, score)


def _select(
    candidates: Sequence[Candidate],
    *,
    is_remote: bool,
) -> list[Candidate]:
    fitting = [
        candidate
        for candidate in candidates
        if candidate.target.is_remote is is_remote and not candidate.blocked
    ]
    return sorted(fitting, key=_order)


def _order(candidate: Candidate) -> tuple[timedelta, int]:
    return (candidate.first, candidate.target.in_flight)


def _is_better(away: Candidate, home: Candidate, limit: timedelta) -> bool:
    is_only_one_in_time = home.first > limit and away.first <= limit
    return is_only_one_in_time or away.score < home.score
