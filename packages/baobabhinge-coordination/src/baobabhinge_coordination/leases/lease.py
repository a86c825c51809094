"""What a lease consists of."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.errors import CoordinationError


class LeaseNotHeldError(CoordinationError):
    """The lease is not held, or may have lapsed."""


class LeaseOptions(msgspec.Struct, frozen=True):
    """What is leased, and for how long.

    Parameters
    ----------
    key : str
        Key of the key-value service that stands for the right.
    holder : str
        Name written to the key.
    time_to_live : timedelta
        Time after which the service lets the lease lapse.
    margin : timedelta
        Time by which the holder stops earlier, for clocks that run apart.
    """

    key: str
    holder: str
    time_to_live: timedelta = timedelta(seconds=10)
    margin: timedelta = timedelta(seconds=1)


class Lease(msgspec.Struct, frozen=True):
    """A lease that was held when it was read.

    Parameters
    ----------
    fencing : int
        Grows with each new holder.
    ends : timedelta
        Monotonic time from which on it must not be used.
    """

    fencing: int
    ends: timedelta
