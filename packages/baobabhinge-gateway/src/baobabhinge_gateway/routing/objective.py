"""Scores and limits from the objective that operators set for a service."""

from datetime import timedelta
from typing import Protocol

from baobabhinge_settings.model import Objective

SECOND = timedelta(seconds=1)
PERCENT = 100
ADMITTED_GOAL_FRACTION = 0.5


class ObjectiveSource(Protocol):
    """Provider of the objectives of services."""

    def find_objective(self, service: str) -> Objective:
        """Return the objective of ``service``."""


def score_candidate(
    objective: Objective,
    first: timedelta,
    *,
    is_remote: bool,
) -> float:
    """Return the weighted score of a candidate; smaller is better.

    Parameters
    ----------
    objective : Objective
        Goal, and weights in percent.
    first : timedelta
        Expected time to the first chunk of the answer. Each second past the
        goal adds one weight of the tail latency.
    is_remote : bool
        Whether the candidate is in a remote region. A remote candidate counts
        as twice the cost of a local one, which adds the weight of the cost
        once. The weight of leaving the region is added too.
    """
    seconds_late = max(timedelta(), first - objective.first_token) / SECOND
    remote_penalty = objective.cost + objective.sent_away if is_remote else 0
    return (objective.tail_latency * seconds_late + remote_penalty) / PERCENT


def compute_admission_limit(objective: Objective) -> timedelta:
    """Return the longest expected time to the first chunk that is admitted.

    Load reports lag, which makes estimates too short under load. The limit is
    therefore a fraction of the goal.
    """
    return objective.first_token * ADMITTED_GOAL_FRACTION
