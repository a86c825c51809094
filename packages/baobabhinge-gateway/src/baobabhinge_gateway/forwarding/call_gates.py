"""Gates that calls of callers pass before they are dispatched."""

from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from typing import Protocol

from baobabhinge_gateway.deployment import Route
from baobabhinge_gateway.forwarding.call import Call, CallHead


class CallGate(Protocol):
    """Part of the gateway that may refuse calls of callers."""

    def check_head(self, head: CallHead, route: Route) -> None:
        """Check a request whose body has not been read.

        Raises
        ------
        CallError
            If it is to be refused.
        """

    def admit(self, call: Call) -> AbstractAsyncContextManager[None]:
        """Return a context in which ``call`` is dispatched.

        Entering it raises a `CallError` if the call is to be refused; it did
        not run. An error of the call passes through the context.
        """


class CallGates:
    """Gates of one gateway, in the order in which calls pass them."""

    __slots__ = ('_gates',)

    def __init__(self) -> None:
        """Start without gates."""
        self._gates: list[CallGate] = []

    def add(self, gate: CallGate) -> None:
        """Add a gate behind the others."""
        self._gates.append(gate)

    def check_head(self, head: CallHead, route: Route) -> None:
        """Check a request whose body has not been read, at each gate."""
        for gate in self._gates:
            gate.check_head(head, route)

    @asynccontextmanager
    async def admit(self, call: Call) -> AsyncIterator[None]:
        """Pass ``call`` through all gates; they are left in reverse order."""
        async with AsyncExitStack() as stack:
            for gate in self._gates:
                await stack.enter_async_context(gate.admit(call))
            yield
