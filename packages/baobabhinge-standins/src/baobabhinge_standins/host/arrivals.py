"""Requests that reached a stand-in of a backend server."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

import msgspec

HEALTH = '/health'


def _read_time() -> float:
    return asyncio.get_running_loop().time()


class Arrival(msgspec.Struct):
    """One request that reached the server.

    Parameters
    ----------
    left : float or None
        Time of the event loop, in seconds, when the server noticed that the
        other side had closed before the answer was whole.
    instant : float
        Time of the event loop, in seconds, when it was read.
    """

    attempt: str
    target: str
    headers: dict[str, str]
    body: bytes
    has_run: bool = False
    left: float | None = None
    instant: float = msgspec.field(default_factory=_read_time)

    @property
    def has_left(self) -> bool:
        """Whether the other side closed before the answer was whole."""
        return self.left is not None


class Recording(Protocol):
    """Server that tells what reached it."""

    arrivals: list[Arrival]


def list_runs(server: Recording) -> Sequence[Arrival]:
    """Return the requests that ``server`` ran."""
    return [arrival for arrival in server.arrivals if arrival.has_run]


def count_checks(server: Recording) -> int:
    """Return how often the health of ``server`` was checked."""
    return sum(arrival.target == HEALTH for arrival in server.arrivals)
