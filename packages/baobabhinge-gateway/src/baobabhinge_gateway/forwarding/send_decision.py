"""Decision to send a call to a server, which expires.

Load pattern: a process that is delayed between its decision and the moment in
which the request can be sent, while servers ask for pauses and leave.
"""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.connections.caller_connection import CallerConnection
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.failures import DeclinedError
from baobabhinge_gateway.forwarding.server_statements import StatementTable

# Longer than a new connection to another region takes with a retransmission,
# shorter than the half second for which requests may cross a pause.
VALIDITY = timedelta(milliseconds=400)


class ExpiredDecisionError(DeclinedError):
    """The call was not sent, as its decision had expired; it did not run."""


class SendDecision(msgspec.Struct, frozen=True):
    """Decision to send a call.

    Parameters
    ----------
    clock : Clock
        Clock of the decision.
    taken : timedelta
        Instant of the decision.
    statements : StatementTable
        What servers have said since then.
    caller : CallerConnection
        Connection on which the answer is waited for.
    server : BackendServer or None
        The server, ``None`` for a call to another gateway.
    """

    clock: Clock
    taken: timedelta
    statements: StatementTable
    caller: CallerConnection
    server: BackendServer | None = None

    def check(self) -> None:
        """Check that the call may be sent now.

        Raises
        ------
        ExpiredDecisionError
            If it is to be decided anew.
        CallerLeftError
            If nobody waits for the answer.
        """
        self.caller.check()
        age = self.clock.read_monotonic() - self.taken
        if age > VALIDITY or not self._is_allowed():
            raise ExpiredDecisionError(
                'what was decided for the call had expired before it was sent'
            )

    def _is_allowed(self) -> bool:
        if self.server is None:
            return True
        is_paused = self.statements.pauses.is_paused(self.server)
        return not is_paused and self.statements.departures.may_serve_last(
            self.server
        )


def decide_now(
    clock: Clock,
    statements: StatementTable,
    caller: CallerConnection,
    server: BackendServer | None = None,
) -> SendDecision:
    """Return a decision that is taken now."""
    return SendDecision(
        clock, clock.read_monotonic(), statements, caller, server
    )
