"""Policy that uses remote regions only if the local one would be late."""

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

# Expected time without a local candidate; later than any limit.
UNREACHABLE_TIME = timedelta(days=1)
AFFINITY_SLACK_FRACTION = 0.1


@register_policy('estimated-latency')
class EstimatedLatencyPolicy:
    """Rank candidates by the expected time to the first chunk.

    Local candidates come first. The best remote candidate is put before them
    while the local region is expected to answer late and the remote one has
    the better score, or is the only one expected in time.

    Parameters
    ----------
    context : PolicyContext
        Estimates, limits and objectives.
    """

    __slots__ = ('_context', '_switches')

    def __init__(self, context: PolicyContext) -> None:
        """Start with every service kept in the local region."""
        self._context = context
        self._switches: defaultdict[str, SpilloverSwitch] = defaultdict(
            lambda: SpilloverSwitch(context.clock),
        )

    def rank(self, call: Call, targets: Sequence[RoutingTarget]) -> Decision:
        """Return the ranked candidates and those that a limit excludes."""
        candidates = self._build_candidates(call, targets)
        local = self._rank_local(call, candidates)
        remote = _select(candidates, is_remote=True)
        if self._may_leave(call, local, remote):
            ranked = (remote[0], *local, *remote[1:])
        else:
            ranked = (*local, *remote)
        blocked = [candidate for candidate in candidates if candidate.blocked]
        return Decision(ranked, tuple(blocked))

    def _build_candidates(
        self,
        call: Call,
        targets: Sequence[RoutingTarget],
    ) -> list[Candidate]:
        objective = self._find_objective(call)
        shuffled = self._context.random.sample(targets, len(targets))
        estimates = self._context.estimator.estimate(shuffled)
        return [
            self._context.limits.mark_blocked(
                call,
                _build_candidate(target, estimate, objective),
            )
            for target, estimate in zip(shuffled, estimates, strict=True)
        ]

    def _rank_local(
        self,
        call: Call,
        candidates: Sequence[Candidate],
    ) -> list[Candidate]:
        local = _select(candidates, is_remote=False)
        prefix = extract_prompt_prefix(call)
        if prefix is None:
            return local
        slack = self._find_objective(call).first_token * AFFINITY_SLACK_FRACTION
        return apply_prefix_affinity(prefix, local, slack)

    def _may_leave(
        self,
        call: Call,
        local: Sequence[Candidate],
        remote: Sequence[Candidate],
    ) -> bool:
        first = min(
            (candidate.first for candidate in local), default=UNREACHABLE_TIME
        )
        limit = compute_admission_limit(self._find_objective(call))
        is_late = self._switches[call.service.name].update(first, limit)
        if not (local and remote):
            return bool(remote)
        return is_late and _is_better(remote[0], local[0], limit)

    def _find_objective(self, call: Call) -> Objective:
        return self._context.objectives.find_objective(call.service.name)


def _build_candidate(
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
    selected = [
        candidate
        for candidate in candidates
        if candidate.target.is_remote is is_remote and not candidate.blocked
    ]
    return sorted(selected, key=_get_sort_key)


def _get_sort_key(candidate: Candidate) -> tuple[timedelta, int]:
    return (candidate.first, candidate.target.in_flight)


def _is_better(remote: Candidate, local: Candidate, limit: timedelta) -> bool:
    is_only_remote_in_time = local.first > limit and remote.first <= limit
    return is_only_remote_in_time or remote.score < local.score
