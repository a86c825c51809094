"""Failed dispatches and the outcomes that they prove."""

import enum

from baobabhinge_coordination.runonce.outcomes import (
    OutcomeReason,
    build_not_run_outcome,
    build_unknown_outcome,
)


class DispatchFailure(enum.Enum):
    """How a dispatch to a backend server ended without an answer.

    ``not_reached`` means that no byte was written to the server,
    ``deadline_passed`` that the deadline passed before the dispatch, ``broken``
    that the exchange failed otherwise, so that the server may run the call.
    """

    not_reached = 'not-reached'
    deadline_passed = 'deadline-passed'
    broken = 'broken'


DISPATCH_FAILURE_OUTCOMES = {
    DispatchFailure.not_reached: build_not_run_outcome(
        OutcomeReason.not_reached
    ),
    DispatchFailure.deadline_passed: build_not_run_outcome(
        OutcomeReason.deadline_passed
    ),
    DispatchFailure.broken: build_unknown_outcome(OutcomeReason.answer_lost),
}


def may_try_another_server(failure: DispatchFailure) -> bool:
    """Return whether another backend server may receive the call.

    Only a connection that was refused before a byte was written proves that
    the first server doesn't run the call.
    """
    return failure is DispatchFailure.not_reached
