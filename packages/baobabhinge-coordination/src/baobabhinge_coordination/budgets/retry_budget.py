"""Retry budget: retries as a fraction of first attempts."""

from collections import defaultdict


class RetryBudget:
    """Allow retries as a fraction of first attempts, by kind of target.

    Parameters
    ----------
    retry_fraction : float
        Retries allowed for each first attempt.
    burst : float
        Retries allowed before any first attempt, and the largest balance
        that can be saved up.

    Notes
    -----
    After ``n`` first attempts of a kind, at most
    ``burst + retry_fraction * n`` retries of it have been allowed, so the load
    is amplified by no more than ``1 + retry_fraction`` in the long run.

    Examples
    --------
    >>> budget = RetryBudget(retry_fraction=0.5, burst=1)
    >>> budget.withdraw('engine'), budget.withdraw('engine')
    (True, False)
    >>> budget.deposit('engine')
    >>> budget.deposit('engine')
    >>> budget.withdraw('engine')
    True
    """

    __slots__ = ('_balances', '_burst', '_retry_fraction')

    def __init__(self, retry_fraction: float, burst: float) -> None:
        """Start with a balance of ``burst`` for every kind."""
        self._retry_fraction = retry_fraction
        self._burst = burst
        self._balances: defaultdict[str, float] = defaultdict(lambda: burst)

    def deposit(self, kind: str) -> None:
        """Count a first attempt at a target of ``kind``."""
        balance = self._balances[kind] + self._retry_fraction
        self._balances[kind] = min(self._burst, balance)

    def withdraw(self, kind: str) -> bool:
        """Use up one retry; return ``False`` if none is left."""
        if self._balances[kind] < 1:
            return False
        self._balances[kind] -= 1
        return True
