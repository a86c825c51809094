"""Interfaces of the admission checks and counters that routing uses."""

from contextlib import AbstractContextManager
from typing import Protocol

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Decision


class AdmissionCheck(Protocol):
    """Check of a call between the routing decision and the dispatch."""

    def check(self, call: Call, decision: Decision) -> None:
        """Raise a `CallError` if ``call`` is not admitted."""


class WorkspaceCallCounter(Protocol):
    """Counter of the calls in flight by workspace."""

    def track(self, call: Call) -> AbstractContextManager[None]:
        """Count ``call`` as in flight within the context."""
