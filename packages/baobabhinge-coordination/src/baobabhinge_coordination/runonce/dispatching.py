"""What the end of a dispatch proves."""

import enum

from baobabhinge_coordination.runonce.outcomes import (
    Reason,
    report_not_run,
    report_unknown,
)


class DispatchEnd(enum.Enum):
    """How a dispatch ended without an answer."""

    not_reached = 'not-reached'
    deadline_passed = 'deadline-passed'
    broken = 'broken'


END_OUTCOMES = {
    DispatchEnd.not_reached: report_not_run(Reason.not_reached),
    DispatchEnd.deadline_passed: report_not_run(Reason.deadline_passed),
    DispatchEnd.broken: report_unknown(Reason.answer_lost),
}


def may_try_another(end: DispatchEnd) -> bool:
    """Tell whether another server may get the call.

    Only a connection that was refused before one byte was written proves that
    the first server does not run it.
    """
    return end is DispatchEnd.not_reached
