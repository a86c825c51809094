"""Conversion between crashes on the local clock and their ages in reports."""

from datetime import timedelta

from baobabhinge_coordination.suspects.histories import DatedCrash
from baobabhinge_coordination.suspects.reports import CrashAge

MILLISECOND = timedelta(milliseconds=1)


def compute_age_ms(instant: timedelta | None, now: timedelta) -> int | None:
    """Return the age of what has an instant, in milliseconds."""
    return None if instant is None else (now - instant) // MILLISECOND


def compute_age(crash: DatedCrash, now: timedelta) -> CrashAge:
    """Return a crash as it is reported at an instant."""
    return CrashAge(
        crash.server,
        (now - crash.instant) // MILLISECOND,
        compute_age_ms(crash.read, now),
    )


def date_crash(age: CrashAge, now: timedelta) -> DatedCrash:
    """Return a crash that is reported at an instant."""
    read = None
    if age.read_age_ms is not None:
        read = now - age.read_age_ms * MILLISECOND
    return DatedCrash(age.server, now - age.age_ms * MILLISECOND, read)
