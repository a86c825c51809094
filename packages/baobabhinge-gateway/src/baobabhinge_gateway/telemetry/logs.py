"""Structured logs: one JSON object per line on standard error."""

import logging
import sys

import structlog
from structlog.typing import Processor

from baobabhinge_gateway.telemetry.crash_handler import CrashHandler


def set_up_logs(vm: str) -> None:
    """Log JSON lines with the name of this vm to standard error.

    Parameters
    ----------
    vm : str
        Name of the vm, added to every line.
    """
    structlog.configure(
        processors=build_processors(),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
    logging.basicConfig(level=logging.WARNING, handlers=[CrashHandler()])


def build_processors() -> list[Processor]:
    """Return the processors that render an event as one JSON line."""
    return [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt='iso', utc=True),
        structlog.processors.JSONRenderer(),
    ]
