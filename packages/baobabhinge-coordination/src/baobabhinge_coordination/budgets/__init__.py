"""Bounds on repeated work."""

from baobabhinge_coordination.budgets.retry_budget import (
    RetryBudget as RetryBudget,
)
