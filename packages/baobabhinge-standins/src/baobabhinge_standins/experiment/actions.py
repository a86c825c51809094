"""Registry of the faults that workloads name."""

from collections.abc import Awaitable, Callable

from baobabhinge_standins.fleet import Deployment

FaultAction = Callable[[Deployment, str], Awaitable[None]]
ACTIONS: dict[str, FaultAction] = {}


def register_action(name: str) -> Callable[[FaultAction], FaultAction]:
    """Return a decorator that registers an action under ``name``."""

    def register(action: FaultAction) -> FaultAction:
        ACTIONS[name] = action
        return action

    return register
