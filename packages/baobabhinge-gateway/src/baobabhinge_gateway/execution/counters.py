"""Counters of the calls that one gateway runs."""

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.admission import Quotas, WorkspaceShares
from baobabhinge_gateway.routing import DecisionLog


class CallCounters:
    """Counters of one gateway that outlive a single call.

    Parameters
    ----------
    clock : Clock
        Clock by which rates are measured.
    region : str
        Region of this gateway.

    Attributes
    ----------
    quotas : Quotas
        Calls counted against the limits set by operators.
    shares : WorkspaceShares
        Calls in flight by workspace.
    decisions : DecisionLog
        Recent decisions of the router.
    """

    __slots__ = ('decisions', 'quotas', 'shares')

    def __init__(self, clock: Clock, region: str) -> None:
        """Start with all counters at zero."""
        self.quotas = Quotas(clock)
        self.shares = WorkspaceShares()
        self.decisions = DecisionLog(region)
