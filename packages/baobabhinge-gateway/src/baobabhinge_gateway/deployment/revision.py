"""Versions of the configuration, and the limits of requests."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment.routes import Route
from baobabhinge_gateway.deployment.services import Service
from baobabhinge_gateway.deployment.workspaces import Workspace


class RequestLimits(msgspec.Struct, frozen=True):
    """Bounds on the size of a request, and on the time to receive it."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


class Revision(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Grows with each change, by steps of any size.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        All services by name.
    limits : RequestLimits
        Bounds on requests.
    workspaces : tuple of Workspace
        Workspaces whose callers need a key; empty if callers need none.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
    workspaces: tuple[Workspace, ...] = ()
