"""Progress of a call over its attempts, and its failure."""

from collections.abc import Iterable
from typing import NoReturn

import msgspec

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.crashing_calls import CrashingCallError
from baobabhinge_gateway.forwarding.delivery import FailedAnswer
from baobabhinge_gateway.forwarding.failures import (
    NotServedError,
    TimeLimitError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.send_decision import ExpiredDecisionError


class Progress(msgspec.Struct):
    """Attempts of a call so far.

    Parameters
    ----------
    sends : int
        Number of attempts made.
    tried : set of str
        Targets and regions that are not used again.
    failure : ForwardingError or None
        Failure of the latest attempt.
    is_reached : bool
        Whether the target of the latest attempt may have received the call.
    answer : FailedAnswer or None
        Error answer of a backend server, passed on if no attempt succeeds.
    """

    sends: int = 0
    tried: set[str] = msgspec.field(default_factory=set)
    failure: ForwardingError | None = None
    is_reached: bool = True
    answer: FailedAnswer | None = None


def record_failure(
    progress: Progress, failure: ForwardingError, tried: Iterable[str]
) -> None:
    """Record the failure of an attempt.

    Parameters
    ----------
    progress : Progress
        Attempts so far.
    failure : ForwardingError
        The failure.
    tried : iterable of str
        What the attempt used.
    """
    # The frames of its traceback hold the request and parts of answers, in
    # cycles that stay until the next collection.
    progress.failure = failure.with_traceback(None)
    if isinstance(failure, ExpiredDecisionError):
        # Nothing was sent; it is decided anew, also for the same target.
        progress.is_reached = False
        progress.tried.difference_update(tried)


def is_final(failure: ForwardingError | None) -> bool:
    """Return whether no other attempt may follow a failed one."""
    return isinstance(failure, (TimeLimitError, CrashingCallError))


def raise_failure(call: Call, progress: Progress) -> NoReturn:
    """Raise the failure with which a call ends.

    Raises
    ------
    ForwardingError
        Failure of the latest attempt. Its outcome is "not run" only if no
        attempt may have run.
    """
    failure = progress.failure or NotServedError('no attempt was made')
    if call.runs and isinstance(failure, NotServedError):
        raise UnknownOutcomeError('an earlier attempt may have run') from (
            failure
        )
    raise failure
