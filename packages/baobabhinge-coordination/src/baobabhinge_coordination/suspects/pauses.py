"""When a request under which servers ended may be run again."""

from datetime import timedelta

from baobabhinge_coordination.suspects.expiry import (
    CLEARED_RETENTION,
    CULPRIT_CRASHES,
    CULPRIT_RETENTION,
    SUSPECT_RETENTION,
)
from baobabhinge_coordination.suspects.histories import RequestHistory

NO_TIME = timedelta()
# Callers have given up by then, so that a request that was in flight at two
# unrelated crashes is run again for the next caller.
SECOND_RUN_PAUSE = timedelta(seconds=15)


def is_repeated(history: RequestHistory) -> bool:
    """Return whether servers ended under a request more than once."""
    return len(history.crashes) >= CULPRIT_CRASHES


def compute_pause(history: RequestHistory, now: timedelta) -> timedelta:
    """Return the time until a request may be run again, 0 for now.

    Parameters
    ----------
    history : RequestHistory
        History of the request.
    now : timedelta
        Instant on the clock of the history.
    """
    if not is_repeated(history):
        return NO_TIME
    is_third = len(history.crashes) > CULPRIT_CRASHES
    pause = CULPRIT_RETENTION if is_third else SECOND_RUN_PAUSE
    return max(NO_TIME, _find_latest(history) + pause - now)


def is_expired(history: RequestHistory, now: timedelta) -> bool:
    """Return whether a request is not remembered any longer.

    Parameters
    ----------
    history : RequestHistory
        History of the request.
    now : timedelta
        Instant on the clock of the history.
    """
    retention = CLEARED_RETENTION
    if history.crashes:
        retention = SUSPECT_RETENTION
    if is_repeated(history):
        retention = CULPRIT_RETENTION
    return now - _find_latest(history) > retention


def _find_latest(history: RequestHistory) -> timedelta:
    instants = [crash.instant for crash in history.crashes]
    instants.extend(
        known for known in (history.run, history.answer) if known is not None
    )
    return max(instants, default=NO_TIME)
