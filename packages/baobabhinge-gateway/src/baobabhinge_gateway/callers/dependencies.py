"""Parts that the serving of calls takes from the rest of the gateway."""

from baobabhinge_gateway.execution import Executor
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.peers import PeerNode
from baobabhinge_gateway.suspects import Isolation, build_isolation


class CallDependencies:
    """Parts that are built elsewhere.

    Parameters
    ----------
    lifecycle : Lifecycle
        Whether this gateway takes calls.
    run_once : Executor
        Runner of calls that may not be repeated.
    isolation : Isolation
        Keeps apart the calls that may have crashed an engine.
    """

    __slots__ = ('isolation', 'lifecycle', 'run_once')

    def __init__(
        self,
        lifecycle: Lifecycle,
        run_once: Executor,
        isolation: Isolation,
    ) -> None:
        """Keep the parts."""
        self.lifecycle = lifecycle
        self.run_once = run_once
        self.isolation = isolation


def build_call_dependencies(
    lifecycle: Lifecycle,
    run_once: Executor,
    fleet: FleetView,
    node: PeerNode,
) -> CallDependencies:
    """Return the parts; the region hears of crashes through ``node``."""
    return CallDependencies(lifecycle, run_once, build_isolation(fleet, node))
