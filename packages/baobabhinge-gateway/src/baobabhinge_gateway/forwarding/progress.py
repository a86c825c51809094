"""What happened to a call so far, and how it ends without an answer."""

from typing import NoReturn

import msgspec

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.delivery import FailedAnswer
from baobabhinge_gateway.forwarding.failures import (
    NotServedError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.problems import ForwardingError


class Progress(msgspec.Struct):
    """What happened to a call so far.

    Parameters
    ----------
    sends : int
        Attempts that were made.
    tried : set of str
        Targets and regions that are not tried again.
    failure : ForwardingError or None
        How the latest attempt ended.
    answer : FailedAnswer or None
        A backend server's own failure, passed on if nothing better comes.
    """

    sends: int = 0
    tried: set[str] = msgspec.field(default_factory=set)
    failure: ForwardingError | None = None
    answer: FailedAnswer | None = None


def raise_failure(call: Call, progress: Progress) -> NoReturn:
    """Raise the failure of the latest attempt.

    Raises
    ------
    ForwardingError
        It says "not run" only if no attempt may have run.
    """
    failure = progress.failure or NotServedError('no attempt was made')
    if call.runs and isinstance(failure, NotServedError):
        raise UnknownOutcomeError('an earlier attempt may have run') from (
            failure
        )
    raise failure
