"""What a gateway counts of the calls that it runs."""

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.admission import Quotas, WorkspaceShares
from baobabhinge_gateway.routing import DecisionLog


class CallCounters:
    """Counts of one gateway that outlive a call.

    Parameters
    ----------
    clock : Clock
        Clock of the rates.
    region : str
        Region of this gateway.

    Attributes
    ----------
    quotas : Quotas
        Calls counted against the operators' limits.
    shares : WorkspaceShares
        Calls in flight by workspace.
    decisions : DecisionLog
        Decisions of the router.
    """

    __slots__ = ('decisions', 'quotas', 'shares')

    def __init__(self, clock: Clock, region: str) -> None:
        """Start with no call counted."""
        self.quotas = Quotas(clock)
        self.shares = WorkspaceShares()
        self.decisions = DecisionLog(region)
