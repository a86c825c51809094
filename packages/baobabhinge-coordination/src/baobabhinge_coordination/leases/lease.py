"""Lease, its options and the error raised when it is not held."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.errors import CoordinationError


class LeaseNotHeldError(CoordinationError):
    """The lease is not held, or may have expired."""


class LeaseOptions(msgspec.Struct, frozen=True):
    """Key of a lease, its holder and its duration.

    Parameters
    ----------
    key : str
        Key of the key-value service that is held under the lease.
    holder : str
        Name that is written to the key.
    time_to_live : timedelta
        Time after which the service expires a lease that is not renewed.
    margin : timedelta
        Time by which the holder stops earlier, to allow for clock drift.
    """

    key: str
    holder: str
    time_to_live: timedelta = timedelta(seconds=10)
    margin: timedelta = timedelta(seconds=1)


class Lease(msgspec.Struct, frozen=True):
    """Lease that was held when it was read.

    Parameters
    ----------
    fencing : int
        Fencing number; grows with each new holder.
    ends : timedelta
        Monotonic time from which the lease must not be used.
    """

    fencing: int
    ends: timedelta
