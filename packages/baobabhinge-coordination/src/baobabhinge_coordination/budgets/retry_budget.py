"""A retry budget: repeated work as a share of fresh work."""

from collections import defaultdict


class RetryBudget:
    """Allow retries as a share of fresh work, by kind of target.

    Parameters
    ----------
    retry_fraction : float
        Retries allowed for each fresh call, as a fraction.
    burst : float
        Retries allowed before any fresh call, and the most that can be
        saved up.

    Notes
    -----
    After ``n`` fresh calls of a kind, at most ``burst + share * n`` retries
    of it have been allowed, so the work is amplified by no more than
    ``1 + share`` in the long run.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1)
    >>> budget.withdraw('engine'), budget.withdraw('engine')
    (True, False)
    >>> budget.deposit('engine')
    >>> budget.deposit('engine')
    >>> budget.withdraw('engine')
    True
    """

    __slots__ = ('_burst', '_retry_fraction', '_saved')

    def __init__(self, retry_fraction: float, burst: float) -> None:
        """Start with the burst saved for every kind."""
        self._retry_fraction = retry_fraction
        self._burst = burst
        self._saved: defaultdict[str, float] = defaultdict(lambda: burst)

    def deposit(self, kind: str) -> None:
        """Count one fresh call to a target of ``kind``."""
        grown = self._saved[kind] + self._retry_fraction
        self._saved[kind] = min(self._burst, grown)

    def withdraw(self, kind: str) -> bool:
        """Take one retry, or return ``False`` if none is left."""
        if self._saved[kind] < 1:
            return False
        self._saved[kind] -= 1
        return True
