"""Registry of the faults of a soak."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import msgspec

from baobabhinge_standins.soak.schedule import TargetKind
from baobabhinge_standins.soak.stage import Stage

Course = Callable[[Stage, str], AsyncIterator[None]]


class RegisteredFault(msgspec.Struct, frozen=True):
    """A fault that lasts as long as its context.

    Parameters
    ----------
    kind : TargetKind
        What it befalls.
    bring_about : callable
        Returns the context of the fault for a stage and a target.
    """

    kind: TargetKind
    bring_about: Callable[[Stage, str], AbstractAsyncContextManager[None]]


FAULTS: dict[str, RegisteredFault] = {}


def register_fault(
    name: str,
    kind: TargetKind,
) -> Callable[[Course], Course]:
    """Return a decorator that registers a fault under ``name``."""

    def register(course: Course) -> Course:
        FAULTS[name] = RegisteredFault(kind, asynccontextmanager(course))
        return course

    return register


def list_kinds() -> dict[str, TargetKind]:
    """Return what each fault befalls, by its name."""
    return {name: fault.kind for name, fault in FAULTS.items()}
