"""What the answer to a forwarded call proves."""

from http import HTTPStatus

from baobabhinge_gateway.forwarding.call import Call, Headers
from baobabhinge_gateway.forwarding.hop import RUNS_HEADER, VERDICT_HEADER
from baobabhinge_gateway.forwarding.protocols import AnswerVerdict


class RunReport:
    """What an answer proves to the gateway that forwarded the call.

    Attributes
    ----------
    call : Call or None
        The call, once it was read.
    verdict : AnswerVerdict or None
        Told in place of what the status says.
    """

    __slots__ = ('call', 'verdict')

    def __init__(self) -> None:
        """Prove nothing yet."""
        self.call: Call | None = None
        self.verdict: AnswerVerdict | None = None

    def extend_headers(self, status: int, headers: Headers) -> Headers:
        """Add what the answer proves, and how many servers ran the call."""
        verdict = self.verdict or _judge_status(status)
        runs = self.call.runs if self.call else 0
        return (
            *headers,
            (VERDICT_HEADER, verdict.value),
            (RUNS_HEADER, str(runs)),
        )


def _judge_status(status: int) -> AnswerVerdict:
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return AnswerVerdict.failed
    return AnswerVerdict.answered
