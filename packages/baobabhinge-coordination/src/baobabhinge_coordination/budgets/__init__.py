"""Bounds on repeated work."""

from baobabhinge_coordination.budgets.retries import RetryBudget as RetryBudget
