"""What a call has to pass before it is sent."""

from contextlib import AbstractContextManager
from typing import Protocol

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Decision


class AdmissionCheck(Protocol):
    """A check between the decision and the dispatch."""

    def check(self, call: Call, decision: Decision) -> None:
        """Let ``call`` pass or raise a `CallError`."""


class OpenCallCounter(Protocol):
    """Counts of open calls by their workspace."""

    def track(self, call: Call) -> AbstractContextManager[None]:
        """Count ``call`` while the context is open."""
