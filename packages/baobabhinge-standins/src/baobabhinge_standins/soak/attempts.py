"""Attempts at one call, and what its caller was told in the end."""

import msgspec

from baobabhinge_standins.traffic import Request, Verdict

UNTOLD = frozenset((Verdict.unknown, Verdict.broken, Verdict.cut, None))


class CallRecord(msgspec.Struct):
    """One call with all its attempts.

    Parameters
    ----------
    request : Request
        The call.
    number : int
        Number of the call.
    verdicts : list of Verdict or None
        What each attempt gave; ``None`` if nobody told the caller anything.
    is_closed : bool
        Whether an attempt was told that the key has not run and never will;
        other refusals speak of their own attempt alone.
    """

    request: Request
    number: int
    verdicts: list[Verdict | None] = []
    is_closed: bool = False

    @property
    def is_told(self) -> bool:
        """Tell whether the last attempt gave a typed outcome."""
        return bool(self.verdicts) and self.verdicts[-1] is not None

    @property
    def outcome(self) -> Verdict:
        """Return what the caller knows after all attempts."""
        if Verdict.answered in self.verdicts:
            return Verdict.answered
        if UNTOLD.intersection(self.verdicts):
            return Verdict.unknown
        return Verdict.not_run
