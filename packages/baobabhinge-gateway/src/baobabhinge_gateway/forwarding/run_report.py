"""Report, in the answer to a forwarded call, on whether the call ran."""

from http import HTTPStatus
from urllib.parse import quote

from baobabhinge_gateway.errors import CallError, Outcome
from baobabhinge_gateway.forwarding.call import Call, Headers
from baobabhinge_gateway.forwarding.crashing_calls import CrashingCallError
from baobabhinge_gateway.forwarding.hop import (
    ATTEMPT_HEADER,
    RUNS_HEADER,
    SOFTWARE_HEADER,
    VERDICT_HEADER,
)
from baobabhinge_gateway.forwarding.protocols import AnswerVerdict


class RunReport:
    """Headers that report on a call to the gateway that forwarded it.

    Attributes
    ----------
    call : Call or None
        The call, once it has been decoded.
    verdict : AnswerVerdict or None
        Verdict that replaces the one derived from the status.
    """

    __slots__ = ('call', 'verdict')

    def __init__(self) -> None:
        """Start without a call and without a verdict."""
        self.call: Call | None = None
        self.verdict: AnswerVerdict | None = None

    def extend_headers(self, status: int, headers: Headers) -> Headers:
        """Return ``headers`` with the verdict and the number of runs.

        Parameters
        ----------
        status : int
            Status of the answer.
        headers : Headers
            Headers of the answer so far.
        """
        verdict = self.verdict or _classify_status(status)
        runs = self.call.runs if self.call else 0
        return (
            *headers,
            (VERDICT_HEADER, verdict.value),
            (RUNS_HEADER, str(runs)),
            *_describe_call(self.call),
        )


def _describe_call(call: Call | None) -> Headers:
    if call is None:
        return ()
    attempt = (ATTEMPT_HEADER, quote(call.head.attempt))
    if call.origin is None:
        return (attempt,)
    return (attempt, (SOFTWARE_HEADER, quote(call.origin.software)))


def _classify_status(status: int) -> AnswerVerdict:
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return AnswerVerdict.failed
    return AnswerVerdict.answered


def choose_verdict(refusal: CallError) -> AnswerVerdict:
    """Return the verdict on a call that ends with ``refusal``."""
    if refusal.outcome is not Outcome.not_run:
        return AnswerVerdict.unknown
    if isinstance(refusal, CrashingCallError):
        return AnswerVerdict.refused
    return AnswerVerdict.declined
