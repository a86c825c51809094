"""Workloads: arrivals and faults over time."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from baobabhinge_standins.experiment.sites import Site

SPAN = timedelta(seconds=15)
TOKENS = 40
ENGINE_REQUESTS_PER_SECOND = 6.5


class Stream(msgspec.Struct, frozen=True):
    """Arrivals in one region.

    Parameters
    ----------
    region : str
        Region whose gateways the callers use.
    rate : float
        Requests a second.
    start, end : timedelta
        When they come, from the start of the workload.
    workspace : str
        Workspace of the callers.
    prompt_chars : int
        Length of the prompts.
    is_retrying : bool
        Whether refused callers come back once, as they are told.
    """

    region: str
    rate: float
    start: timedelta = timedelta()
    end: timedelta = SPAN
    workspace: str = 'one'
    prompt_chars: int = 1500
    is_retrying: bool = False


class Event(msgspec.Struct, frozen=True):
    """A fault that is switched on or off.

    Parameters
    ----------
    instant : timedelta
        When, from the start of the workload.
    action : str
        Name of the action in the registry of faults.
    region : str
        Region that it befalls.
    """

    instant: timedelta
    action: str
    region: str


class Workload(msgspec.Struct, frozen=True):
    """What happens in one run.

    Parameters
    ----------
    streams : tuple of Stream
        Arrivals.
    events : tuple of Event
        Faults, in the order of their time.
    """

    streams: tuple[Stream, ...]
    events: tuple[Event, ...] = ()


WorkloadBuilder = Callable[[Site], Workload]
WORKLOADS: dict[str, WorkloadBuilder] = {}


def register_workload(
    name: str,
) -> Callable[[WorkloadBuilder], WorkloadBuilder]:
    """Return a decorator that registers a workload under ``name``."""

    def register(build: WorkloadBuilder) -> WorkloadBuilder:
        WORKLOADS[name] = build
        return build

    return register


def compute_capacity(site: Site, region: str) -> float:
    """Return the requests a second that a region can run."""
    return site.engines[region] * ENGINE_REQUESTS_PER_SECOND
