"""Background loops that outlive unexpected errors.

An error that ends a `mode` service ends the whole process, and may end all
gateways at the same moment if one message causes it at each of them.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial, wraps
from typing import Any

import structlog
from mode import Service

# Pause before a loop begins anew, twice as long after each failure.
FIRST_PAUSE = timedelta(milliseconds=100)
MAX_PAUSE = timedelta(seconds=5)
MAX_DOUBLINGS = 10
MAX_REASON_CHARACTERS = 200

Loop = Callable[[], Awaitable[None]]
Method = Callable[..., Awaitable[None]]

log = structlog.get_logger(__name__)


async def keep_running(service: Service, loop: Loop) -> None:
    """Run a loop of a service, and begin it anew after unexpected errors.

    Parameters
    ----------
    service : Service
        Service that owns the loop; it ends the loop when it stops.
    loop : callable
        Coroutine function of the loop.
    """
    failures = 0
    while not service.should_stop:
        try:
            await loop()
        except Exception as unexpected:
            failures += 1
            _log_failure(service, unexpected, failures)
        else:
            return
        await service.sleep(compute_pause(failures).total_seconds())


def supervised_task(method: Method) -> Any:
    """Return a task of a service that runs ``method`` by `keep_running`."""

    @wraps(method)
    async def run(service: Service) -> None:
        await keep_running(service, partial(method, service))

    return Service.task(run)


class SupervisedService(Service):
    """Service to which loops are added that outlive unexpected errors."""

    def add_loop(self, loop: Loop) -> None:
        """Run a loop in the background until the service stops.

        Parameters
        ----------
        loop : callable
            Coroutine function of the loop.
        """
        self.add_future(keep_running(self, loop))


def _log_failure(
    service: Service, unexpected: Exception, failures: int
) -> None:
    log.error(
        'service-failed',
        service=type(service).__name__,
        reason=repr(unexpected)[:MAX_REASON_CHARACTERS],
        failures=failures,
        exc_info=failures == 1,
    )


def compute_pause(failures: int) -> timedelta:
    """Return the pause after some failures, of which there is at least one."""
    doublings = min(failures - 1, MAX_DOUBLINGS)
    factor: int = 2**doublings
    return min(MAX_PAUSE, FIRST_PAUSE * factor)
