"""Collaborators that the server of calls gets from other packages."""

from baobabhinge_gateway.execution import Executor
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.peers import PeerNode
from baobabhinge_gateway.suspects import Isolation, build_isolation


class CallDependencies:
    """Collaborators of the server of calls that are built elsewhere.

    Parameters
    ----------
    lifecycle : Lifecycle
        Whether this gateway accepts calls.
    run_once : Executor
        Executor of calls that must not run twice.
    isolation : Isolation
        Separates calls that may have crashed an engine from other calls.
    """

    __slots__ = ('isolation', 'lifecycle', 'run_once')

    def __init__(
        self,
        lifecycle: Lifecycle,
        run_once: Executor,
        isolation: Isolation,
    ) -> None:
        """Store the collaborators."""
        self.lifecycle = lifecycle
        self.run_once = run_once
        self.isolation = isolation


def build_call_dependencies(
    lifecycle: Lifecycle,
    run_once: Executor,
    fleet: FleetView,
    node: PeerNode,
) -> CallDependencies:
    """Return the collaborators; ``node`` reports crashes to the region."""
    return CallDependencies(lifecycle, run_once, build_isolation(fleet, node))
