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
    told : CallError or None
        What the caller is told if no attempt follows.
    is_final : bool
        Whether no attempt may follow.
    """

    __slots__ = ('count', 'is_final', 'told')

    def __init__(self) -> None:
        """Start without failures."""
        self.count = 0
        self.told: CallError | None = None
        self.is_final = False

    def count_failure(self, failure: CallError) -> None:
        """Note one more failure."""
        self.count += 1
        self.told = self.choose_told(failure)
        has_final_code = failure.code in FINAL_CODES
        self.is_final = has_final_code or _has_crashed_elsewhere(failure)

    def note_refusal(self, refusal: CallError) -> None:
        """Note a refusal that costs nothing; it does not count as failure."""
        self.told = self.choose_told(refusal)

    def choose_told(self, failure: CallError) -> CallError:
        """Return what is to be told after ``failure`` and those before it.

        A call that may have run once is never told to be not run.
        """
        if self.told is None or failure.outcome is Outcome.unknown:
            return failure
        if failure.code == CrashingRequestError.code:
            return CrashingRequestError(self.told.outcome)
        return self.told


def _has_crashed_elsewhere(failure: CallError) -> bool:
    """Tell whether the call crashed engines of another region.

    That region has run it again as far as it may; a further region would
    lose engines too.
    """
    is_own = isinstance(failure, EngineCrashedError)
    return failure.code == EngineCrashedError.code and not is_own
