"""Handler that logs errors reported by libraries, without their messages."""

import logging
import traceback
from pathlib import Path

import structlog

log = structlog.get_logger(__name__)


class CrashHandler(logging.Handler):
    """Log the type and source line of an error that a library reports.

    The message of an error may contain text of a request, so it is not logged.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log ``record`` as one structured event."""
        error = record.exc_info[1] if record.exc_info else None
        if error is None:
            log.warning('library-warning', logger=record.name)
            return
        frames = traceback.extract_tb(error.__traceback__)
        place = _describe_place(frames[-1]) if frames else ''
        log.error(
            'service-failed',
            logger=record.name,
            reason=type(error).__name__,
            place=place,
        )


def _describe_place(frame: traceback.FrameSummary) -> str:
    name = Path(frame.filename).name
    return f'{name}:{frame.lineno}'
