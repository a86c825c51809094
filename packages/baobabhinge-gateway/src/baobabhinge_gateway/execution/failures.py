"""Failed attempts of one call, and the resulting caller error."""

from baobabhinge_gateway.errors import (
    CallError,
    CrashingRequestError,
    DeadlinePassedError,
    EngineCrashedError,
    Outcome,
)

FINAL_CODES = frozenset(
    (CrashingRequestError.code, DeadlinePassedError.code),
)


class Failures:
    """Failed attempts of one call so far.

    Attributes
    ----------
    count : int
        Number of failed attempts.
    caller_error : CallError or None
        Error that the caller receives if no attempt follows.
    is_final : bool
        Whether no further attempt is allowed.
    """

    __slots__ = ('caller_error', 'count', 'is_final')

    def __init__(self) -> None:
        """Start without failures and without an error."""
        self.count = 0
        self.caller_error: CallError | None = None
        self.is_final = False

    def count_failure(self, failure: CallError) -> None:
        """Count one failed attempt and record ``failure``."""
        self.count += 1
        self.caller_error = self.choose_caller_error(failure)
        has_final_code = failure.code in FINAL_CODES
        self.is_final = has_final_code or _has_crashed_remotely(failure)

    def record_refusal(self, refusal: CallError) -> None:
        """Record a refusal without counting it as a failed attempt."""
        self.caller_error = self.choose_caller_error(refusal)

    def choose_caller_error(self, failure: CallError) -> CallError:
        """Return the caller error after ``failure``.

        Once an attempt may have run the call, its outcome is never reported
        as not run.
        """
        if self.caller_error is None or failure.outcome is Outcome.unknown:
            return failure
        if failure.code == CrashingRequestError.code:
            return CrashingRequestError(self.caller_error.outcome)
        return self.caller_error


def _has_crashed_remotely(failure: CallError) -> bool:
    """Return whether the call crashed engines of a remote region.

    The gateway there has already retried the call as often as allowed;
    sending it to a third region would crash engines there too.
    """
    is_local_engine = isinstance(failure, EngineCrashedError)
    return failure.code == EngineCrashedError.code and not is_local_engine
