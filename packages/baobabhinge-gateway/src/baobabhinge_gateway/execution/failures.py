"""What is known about a call after the failures of its attempts."""

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
    """Failures of one call so far.

    Attributes
    ----------
    count : int
        Number of attempts that failed.
    caller_error : CallError or None
        What the caller is told if no attempt follows.
    is_final : bool
        Whether no attempt may follow.
    """

    __slots__ = ('caller_error', 'count', 'is_final')

    def __init__(self) -> None:
        """Start without failures."""
        self.count = 0
        self.caller_error: CallError | None = None
        self.is_final = False

    def count_failure(self, failure: CallError) -> None:
        """Note one more failure."""
        self.count += 1
        self.caller_error = self.choose_caller_error(failure)
        has_final_code = failure.code in FINAL_CODES
        self.is_final = has_final_code or _has_crashed_elsewhere(failure)

    def record_refusal(self, refusal: CallError) -> None:
        """Note a refusal that costs nothing; it does not count as failure."""
        self.caller_error = self.choose_caller_error(refusal)

    def choose_caller_error(self, failure: CallError) -> CallError:
        """Return what is to be told after ``failure`` and those before it.

        A call that may have run once is never told to be not run.
        """
        if self.caller_error is None or failure.outcome is Outcome.unknown:
            return failure
        if failure.code == CrashingRequestError.code:
            return CrashingRequestError(self.caller_error.outcome)
        return self.caller_error


def _has_crashed_elsewhere(failure: CallError) -> bool:
    """Tell whether the call crashed engines of another region.

    That region has run it again as far as it may; a further region would
    lose engines too.
    """
    is_own = isinstance(failure, EngineCrashedError)
    return failure.code == EngineCrashedError.code and not is_own
