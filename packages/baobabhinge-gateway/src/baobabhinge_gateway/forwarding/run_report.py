"""What the answer to a forwarded call proves."""

from http import HTTPStatus

from baobabhinge_gateway.forwarding.call import Call, Headers
from baobabhinge_gateway.forwarding.hop import RUNS, VERDICT
from baobabhinge_gateway.forwarding.protocols import Verdict


class RunReport:
    """What an answer proves to the gateway that forwarded the call.

    Attributes
    ----------
    call : Call or None
        The call, once it was read.
    verdict : Verdict or None
        Told in place of what the status says.
    """

    __slots__ = ('call', 'verdict')

    def __init__(self) -> None:
        """Prove nothing yet."""
        self.call: Call | None = None
        self.verdict: Verdict | None = None

    def extend_headers(self, status: int, headers: Headers) -> Headers:
        """Add what the answer proves, and how many servers ran the call."""
        verdict = self.verdict or _judge_status(status)
        runs = self.call.runs if self.call else 0
        return (*headers, (VERDICT, verdict.value), (RUNS, str(runs)))


def _judge_status(status: int) -> Verdict:
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Verdict.failed
    return Verdict.answered
