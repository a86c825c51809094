"""The weighted objective that operators set for a service."""

from datetime import timedelta
from typing import Protocol

from baobabhinge_settings.model import Objective

SECOND = timedelta(seconds=1)
PERCENT = 100
ADMITTED_GOAL_FRACTION = 0.5


class ObjectiveSource(Protocol):
    """Where the objectives come from."""

    def find_objective(self, service: str) -> Objective:
        """Return the objective of ``service``."""


def score_candidate(
    objective: Objective,
    first: timedelta,
    *,
    is_remote: bool,
) -> float:
    """Return the weighted objective of one run; smaller is better.

    Parameters
    ----------
    objective : Objective
        Goal and weights.
    first : timedelta
        Expected time to the first piece of the answer; each second past the
        goal counts one.
    is_remote : bool
        Whether the run is in another region: then its cost counts twice, and
        leaving the region counts one.
    """
    late = max(timedelta(), first - objective.first_token) / SECOND
    away = objective.cost + objective.sent_away if is_remote else 0
    return (objective.tail_latency * late + away) / PERCENT


def compute_admission_limit(objective: Objective) -> timedelta:
    """Return the longest expected time to the first piece that is admitted.

    Lagged reports make estimates too short under load, so a call is admitted
    while it is expected well before the goal.
    """
    return objective.first_token * ADMITTED_GOAL_FRACTION
