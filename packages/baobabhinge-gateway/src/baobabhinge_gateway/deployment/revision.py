"""One accepted configuration."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment.routes import Route
from baobabhinge_gateway.deployment.services import Service


class RequestLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how slowly."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


class Revision(msgspec.Struct, frozen=True):
    """One accepted configuration.

    Parameters
    ----------
    version : int
        Grows with each change, in uneven steps.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        All services by name.
    limits : RequestLimits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
