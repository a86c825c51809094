"""Bounds on the number of retries."""

from baobabhinge_coordination.budgets.retry_budget import (
    RetryBudget as RetryBudget,
)
